/** The gateway's dependencies, all of which differ between platforms. */
import { type Result } from "neverthrow";
import {
  type BackendServer,
  type Clock,
  type Logger,
  type Manifest,
  type Random,
  type RolloutOrder,
  type RolloutStatus,
  type Sleep,
} from "../model/mod.ts";
import { type GatewaySettings } from "./gateway_settings.ts";
import { type GatewayProtocol } from "./protocol.ts";
import {
  type StoreFault,
  type StoreRecord,
  type TopicSource,
} from "./store/store_record.ts";
import { type RendezvousTopic } from "./peers/store_rendezvous.ts";
import { type IsOlder } from "./store/topic_replica.ts";

/** A record that operators write into the store. */
export type OperatorRecord =
  | { readonly kind: "manifest"; readonly manifest: Manifest }
  | { readonly kind: "order"; readonly order: RolloutOrder }
  | {
    readonly kind: "evacuation";
    readonly place: string;
    /** False for a record that was dropped, which ends the evacuation. */
    readonly isOrdered: boolean;
  };

/** Settings, protocol, store access and effects of a gateway. */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly protocol: GatewayProtocol;
  readonly operatorTopic: TopicSource;
  readonly serverTopic: TopicSource;
  readonly statusTopic: TopicSource;
  readonly readOperatorRecord: (
    record: StoreRecord,
  ) => OperatorRecord | undefined;
  readonly readServer: (record: StoreRecord) => BackendServer | undefined;
  /** Encodes a server's value with the fields that are read here. */
  readonly shortenServer?: (value: Buffer) => Buffer | undefined;
  /** Whether a server wrote a value before another one. */
  readonly isOlderServer: IsOlder;
  readonly readStatus: (record: StoreRecord) => RolloutStatus | undefined;
  /** Appends a status if the topic still ends at the offset. */
  readonly appendStatus: (
    status: RolloutStatus,
    offset: number,
  ) => Promise<Result<number, StoreFault>>;
  /** Where VMs find each other whose seeds are gone, if anywhere. */
  readonly rendezvous?: RendezvousTopic;
  readonly clock: Clock;
  readonly random: Random;
  readonly sleep: Sleep;
  readonly logger: Logger;
}
