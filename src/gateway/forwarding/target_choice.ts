/**
 * Where the attempts of one request go: to a backend server or, where this VM
 * reaches none, through another VM. A request that came from another VM goes no
 * further.
 */
import { isRetriable } from "../../model/mod.ts";
import { type AttemptTarget } from "./attempt_start.ts";
import {
  type ForwardContext,
  type ForwardRequest,
  type VersionAcceptor,
} from "./forward_context.ts";
import { isWithoutServer } from "./retry_delay.ts";
import { chooseServer } from "../servers/server_choice.ts";
import { connects } from "../servers/connect_probe.ts";

/** Long enough for a connection whose first packet has to be sent again. */
const CONNECT_TIMEOUT_MS = 400;

/** Returns the id of the server or the name of the VM. */
export function targetIdOf(target: AttemptTarget): string {
  return target.kind === "vm" ? target.vm.vm : target.candidate.id;
}

/** Whether a target accepts connections, and not only to reset them. */
export function isReached(target: AttemptTarget): Promise<boolean> {
  const { address } = target.kind === "vm"
    ? target.vm
    : target.candidate.server;
  return connects(address, {
    timeoutMs: CONNECT_TIMEOUT_MS,
    isResetAccepted: false,
  });
}

export class TargetChoice {
  readonly #context: ForwardContext;
  readonly #request: ForwardRequest;
  #versions: VersionAcceptor;

  constructor(context: ForwardContext, request: ForwardRequest) {
    this.#context = context;
    this.#request = request;
    this.#versions = this.#acceptorOf(undefined);
  }

  /** Which versions the request may run on, and why. */
  get versions(): VersionAcceptor {
    return this.#versions;
  }

  /** Avoids the version on which an attempt failed, if possible. */
  avoidVersion(failedVersion: string | undefined): void {
    this.#versions = this.#acceptorOf(failedVersion);
  }

  /** Returns the next target; one tried before only if there is no other. */
  choose(
    triedIds: ReadonlySet<string>,
    model: string | undefined,
  ): AttemptTarget | undefined {
    const { reach, regions, relays } = this.#context;
    if (reach.isCutOff) {
      if (this.#request.caller.isRelayed) return undefined;
      // Another VM would only refuse it.
      if (isWithoutServer(this.#context, this.#request)) return undefined;
      const vm = relays.choose({
        triedIds,
        allowsPlace: regions.vmPlacesOf(this.#request),
      });
      if (vm !== undefined) return { kind: "vm", vm };
    }
    const candidate = chooseServer(this.#context, this.#request, {
      acceptsVersion: this.#versions.accepts,
      triedIds,
      model,
      isRetriable: isRetriable(this.#request.route),
    });
    return candidate === undefined ? undefined : { kind: "server", candidate };
  }

  #acceptorOf(failedVersion: string | undefined): VersionAcceptor {
    const { versions, regions } = this.#context;
    const { caller, service } = this.#request;
    return versions.acceptorOf(service, {
      key: caller.session ?? caller.id,
      isMultiRequest: caller.session !== undefined,
      failedVersion,
      allowsPlace: regions.serverPlacesOf(this.#request),
    });
  }
}
