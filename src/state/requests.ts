/**
 * Pins and claims, by replay of the request streams. The first pin of a session
 * and the first claim of a key win; a key is free again only after an outcome
 * that says its claimed request was not run.
 */
import { Map as PersistentMap } from "immutable";
import { type SettingsPath, type VersionName } from "../model/mod.ts";
import { type Position, positionOf, START_POSITION } from "./position.ts";
import { type LogEntry, type RecordOf } from "./record.ts";

/** The claim that holds a key, and its outcome once one is recorded. */
export interface ClaimState {
  readonly position: Position;
  readonly claim: RecordOf<"claim">;
  readonly outcome: RecordOf<"outcome"> | undefined;
}

/** Pins and claims of one request stream. */
export class RequestState {
  /** Position of the newest record applied. */
  readonly position: Position;
  readonly #pins: PersistentMap<SettingsPath, VersionName>;
  readonly #claims: PersistentMap<string, ClaimState>;

  private constructor(
    position: Position,
    pins: PersistentMap<SettingsPath, VersionName>,
    claims: PersistentMap<string, ClaimState>,
  ) {
    this.position = position;
    this.#pins = pins;
    this.#claims = claims;
  }

  /** The state before any record. */
  static readonly empty: RequestState = new RequestState(
    START_POSITION,
    PersistentMap(),
    PersistentMap(),
  );

  /** The pinned version of a session. */
  pinOf(session: SettingsPath): VersionName | undefined {
    return this.#pins.get(session);
  }

  /** The claim that holds a workspace's key. */
  claimOf(workspace: SettingsPath, key: string): ClaimState | undefined {
    return this.#claims.get(claimKey(workspace, key));
  }

  /** The state after one log entry; entries at or before it change nothing. */
  apply(entry: LogEntry): RequestState {
    return RequestState.#replay(this, entry);
  }

  static #replay(start: RequestState, entry: LogEntry): RequestState {
    let state = start;
    for (const [index, record] of entry.records.entries()) {
      const position = positionOf(entry.offset, index);
      if (position <= state.position) continue;
      state = state.#applyRecord(position, record);
    }
    return state;
  }

  #applyRecord(
    position: Position,
    record: LogEntry["records"][number],
  ): RequestState {
    const pins = record.kind === "pin" ? this.#withPin(record) : this.#pins;
    const claims = this.#withClaims(position, record);
    return new RequestState(position, pins, claims);
  }

  #withPin(record: RecordOf<"pin">): PersistentMap<SettingsPath, VersionName> {
    if (this.#pins.has(record.session)) return this.#pins;
    return this.#pins.set(record.session, record.version);
  }

  #withClaims(
    position: Position,
    record: LogEntry["records"][number],
  ): PersistentMap<string, ClaimState> {
    if (record.kind === "claim") return this.#withClaim(position, record);
    if (record.kind === "outcome") return this.#withOutcome(record);
    return this.#claims;
  }

  #withClaim(
    position: Position,
    claim: RecordOf<"claim">,
  ): PersistentMap<string, ClaimState> {
    const key = claimKey(claim.workspace, claim.key);
    const held = this.#claims.get(key);
    if (held !== undefined && held.outcome?.result !== "not_run") {
      return this.#claims;
    }
    if (held?.claim.id === claim.id) return this.#claims;
    return this.#claims.set(key, { position, claim, outcome: undefined });
  }

  #withOutcome(
    outcome: RecordOf<"outcome">,
  ): PersistentMap<string, ClaimState> {
    const key = claimKey(outcome.workspace, outcome.key);
    const held = this.#claims.get(key);
    if (held === undefined || held.claim.id !== outcome.claimId) {
      return this.#claims;
    }
    if (held.outcome !== undefined && held.outcome.result !== "unknown") {
      return this.#claims;
    }
    return this.#claims.set(key, { ...held, outcome });
  }
}

function claimKey(workspace: SettingsPath, key: string): string {
  return `${workspace} ${key}`;
}
