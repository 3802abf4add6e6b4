/** Options of a peer node, including all its effects. */
import { type MembershipOptions } from "../decision/mod.ts";
import {
  type Clock,
  type Logger,
  type Metrics,
  type Random,
  type Sleep,
} from "../model/mod.ts";
import { type RecordSource } from "./record_exchange.ts";
import { type ExchangeUpdates, type PeerBillStore } from "./responder.ts";
import { type TransportBounds } from "./transport.ts";

/** Identity, addresses, data sources and effects of a peer node. */
export interface PeerNodeOptions {
  readonly vm: string;
  readonly place: string;
  /** Address for callers; "" while it must not be advertised. */
  readonly address: string;
  readonly listenHost: string;
  readonly listenPort: number;
  /** Address for peers, if it differs from the listening address. */
  readonly advertisedPeerAddress?: string;
  readonly deployment: string;
  readonly sharedKey: string;
  /** Peer addresses to connect to while there is no other member. */
  readonly seeds: readonly string[];
  /** Further such addresses, as known by then. */
  readonly moreSeeds?: () => readonly string[];
  readonly membership?: Partial<MembershipOptions>;
  readonly bounds?: Partial<TransportBounds>;
  readonly records: RecordSource;
  readonly bills: PeerBillStore;
  /** Absent in a process that sends no updates to others. */
  readonly exchange?: ExchangeUpdates;
  readonly clock: Clock;
  readonly random: Random;
  readonly sleep: Sleep;
  readonly logger: Logger;
  readonly metrics: Metrics;
}
