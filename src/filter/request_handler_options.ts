/** Dependencies and limits of an entry VM's filter chains. */
import {
  type Clock,
  type Logger,
  type Metrics,
  type Random,
  type Sleep,
} from "../model/mod.ts";
import {
  type EngineTransport,
  type Journal,
  type ServerDirectory,
  type ServiceTransport,
} from "../client/mod.ts";
import { type TokenOf } from "./authorise.ts";
import { type HoldBillAtPeer } from "./bill.ts";
import {
  type MayEscalate,
  type OnAnswer,
  type ShouldEscalate,
} from "./cascade.ts";
import { type FilterLimits } from "./limits.ts";
import { type ChooseVersions, type MayStart } from "./pin.ts";
import { type Distance, type RouterOptions } from "./router.ts";

/** Options of `createRequestHandler`. */
export interface RequestHandlerOptions {
  /** Name of this VM. */
  readonly self: string;
  readonly journal: Journal;
  readonly directory: ServerDirectory;
  readonly engines: EngineTransport;
  readonly services: ServiceTransport;
  readonly chooseVersions: ChooseVersions;
  readonly mayStart: MayStart;
  readonly shouldEscalate: ShouldEscalate;
  readonly mayEscalate: MayEscalate;
  readonly onAnswer: OnAnswer;
  readonly holdAtPeer: HoldBillAtPeer;
  readonly tokenOf: TokenOf;
  readonly tokenKeys: readonly string[];
  readonly distanceTo: (place: string) => Distance;
  /** Maximum number of requests that this VM runs concurrently. */
  readonly runningLimit: () => number;
  readonly routePolicy?: RouterOptions["policy"];
  readonly clock: Clock;
  readonly sleep: Sleep;
  readonly random: Random;
  /** Creates an id that is unique across VMs. */
  readonly makeId: () => string;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly limits: FilterLimits;
}
