/** What the node of one process is made of; all effects are passed in. */
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

/** What a node is and needs. */
export interface PeerNodeOptions {
  readonly vm: string;
  readonly place: string;
  /** Where callers reach this VM; "" while it is not to be handed out. */
  readonly address: string;
  readonly listenHost: string;
  readonly listenPort: number;
  /** Where peers reach this VM, when it isn't where it listens. */
  readonly advertisedPeerAddress?: string;
  readonly deployment: string;
  readonly sharedKey: string;
  /** Peer addresses to try while no member is known. */
  readonly seeds: readonly string[];
  readonly membership?: Partial<MembershipOptions>;
  readonly bounds?: Partial<TransportBounds>;
  readonly records: RecordSource;
  readonly bills: PeerBillStore;
  /** Absent where a process has no news for others. */
  readonly exchange?: ExchangeUpdates;
  readonly clock: Clock;
  readonly random: Random;
  readonly sleep: Sleep;
  readonly logger: Logger;
  readonly metrics: Metrics;
}
