/**
 * Pins and claims, derived by replay of the request streams. The first pin of a
 * session and the first claim of a key win; a key can be claimed again only
 * after an outcome `not_run`.
 *
 * The state is a window of the latest pins and claims. The oldest are evicted
 * by the number and size of newer ones, so that every VM evicts the same ones
 * at the same record. A key whose claim has left the window cannot be claimed
 * again, unless its outcome was `not_run`.
 */
import { List, Map as PersistentMap } from "immutable";
import { type SettingsPath, type VersionName } from "../model/mod.ts";
import { BoundedMap } from "./bounded_map.ts";
import { ExpiredKeys } from "./expired_keys.ts";
import { type Position, positionOf, START_POSITION } from "./position.ts";
import { type LogEntry, type RecordOf } from "./record.ts";

/** The claim of a key, and its outcome once recorded. */
export interface ClaimState {
  readonly position: Position;
  readonly claim: RecordOf<"claim">;
  readonly outcome: RecordOf<"outcome"> | undefined;
}

/** The pin of a session. */
export interface PinState {
  readonly position: Position;
  readonly session: SettingsPath;
  readonly version: VersionName;
}

/** Size limits of the window of a request stream. */
export interface RequestWindow {
  readonly maxPins: number;
  readonly maxClaims: number;
  /** Maximum number of characters of all recorded answers together. */
  readonly maxAnswerChars: number;
}

/** Must be equal on every VM, so that replay decides the same everywhere. */
export const REQUEST_WINDOW: RequestWindow = {
  maxPins: 20_000,
  maxClaims: 20_000,
  maxAnswerChars: 8 * 1024 * 1024,
};

/** Contents of a {@link RequestState}. */
export interface RequestFields {
  readonly position: Position;
  readonly pins: BoundedMap<SettingsPath, PinState>;
  readonly claims: PersistentMap<string, ClaimState>;
  /** Keys and positions of claims, oldest first, including replaced ones. */
  readonly claimOrder: List<[string, Position]>;
  readonly answerChars: number;
  readonly expired: ExpiredKeys;
  readonly window: RequestWindow;
}

/** Immutable pins and claims of one request stream. */
export class RequestState {
  /** Contents, for checkpoints. */
  readonly fields: RequestFields;

  private constructor(fields: RequestFields) {
    this.fields = fields;
  }

  /** The state before any record. */
  static readonly empty: RequestState = RequestState.create(REQUEST_WINDOW);

  /** Creates the state before any record, with the limits of `window`. */
  static create(window: RequestWindow): RequestState {
    return RequestState.of({
      position: START_POSITION,
      pins: BoundedMap.create(window.maxPins),
      claims: PersistentMap(),
      claimOrder: List(),
      answerChars: 0,
      expired: ExpiredKeys.create(),
      window,
    });
  }

  /** Builds a state from its contents. */
  static of(fields: RequestFields): RequestState {
    return new RequestState(fields);
  }

  /** Position of the latest applied record. */
  get position(): Position {
    return this.fields.position;
  }

  /** Returns the pinned version of a session. */
  pinOf(session: SettingsPath): VersionName | undefined {
    return this.fields.pins.get(session)?.version;
  }

  /** Returns the current claim of a workspace's key. */
  claimOf(workspace: SettingsPath, key: string): ClaimState | undefined {
    return this.fields.claims.get(claimKey(workspace, key));
  }

  /**
   * False for an expired key, which cannot be claimed again; in rare cases also
   * for a new key (see {@link ExpiredKeys}).
   */
  isInWindow(workspace: SettingsPath, key: string): boolean {
    return !this.fields.expired.has(claimKey(workspace, key));
  }

  /** Returns the state after an entry; ignores records already applied. */
  apply(entry: LogEntry): RequestState {
    let fields = this.fields;
    for (const [index, record] of entry.records.entries()) {
      const position = positionOf(entry.offset, index);
      if (position <= fields.position) continue;
      fields = { ...applyRecord(fields, position, record), position };
    }
    return fields === this.fields ? this : new RequestState(fields);
  }
}

function applyRecord(
  fields: RequestFields,
  position: Position,
  record: LogEntry["records"][number],
): RequestFields {
  switch (record.kind) {
    case "pin":
      return withPin(fields, position, record);
    case "claim":
      return withClaim(fields, position, record);
    case "outcome":
      return withOutcome(fields, record);
    default:
      return fields;
  }
}

function withPin(
  fields: RequestFields,
  position: Position,
  record: RecordOf<"pin">,
): RequestFields {
  const { session, version } = record;
  if (fields.pins.has(session)) return fields;
  const pin: PinState = { position, session, version };
  return { ...fields, pins: fields.pins.set(session, pin) };
}

function withClaim(
  fields: RequestFields,
  position: Position,
  claim: RecordOf<"claim">,
): RequestFields {
  const key = claimKey(claim.workspace, claim.key);
  const prior = fields.claims.get(key);
  if (prior !== undefined && prior.outcome?.result !== "not_run") return fields;
  if (prior?.claim.id === claim.id) return fields;
  if (fields.expired.has(key)) return fields;
  const next: ClaimState = { position, claim, outcome: undefined };
  return evictClaims({
    ...fields,
    claims: fields.claims.set(key, next),
    claimOrder: fields.claimOrder.push([key, position]),
    answerChars: fields.answerChars - answerCharsOf(prior),
  });
}

function withOutcome(
  fields: RequestFields,
  outcome: RecordOf<"outcome">,
): RequestFields {
  const key = claimKey(outcome.workspace, outcome.key);
  const prior = fields.claims.get(key);
  if (prior === undefined || prior.claim.id !== outcome.claimId) return fields;
  if (prior.outcome !== undefined && prior.outcome.result !== "unknown") {
    return fields;
  }
  const next: ClaimState = { ...prior, outcome };
  return evictClaims({
    ...fields,
    claims: fields.claims.set(key, next),
    answerChars: fields.answerChars + answerCharsOf(next) -
      answerCharsOf(prior),
  });
}

function evictClaims(initial: RequestFields): RequestFields {
  let fields = initial;
  while (isOverLimit(fields)) {
    const oldest = fields.claimOrder.first();
    if (oldest === undefined) return fields;
    fields = evictClaim(fields, oldest);
  }
  return fields;
}

function isOverLimit(fields: RequestFields): boolean {
  const { maxClaims, maxAnswerChars } = fields.window;
  return fields.claimOrder.size > maxClaims ||
    fields.answerChars > maxAnswerChars;
}

function evictClaim(
  fields: RequestFields,
  [key, position]: [string, Position],
): RequestFields {
  const claimOrder = fields.claimOrder.shift();
  const prior = fields.claims.get(key);
  if (prior?.position !== position) return { ...fields, claimOrder };
  const isClaimable = prior.outcome?.result === "not_run";
  return {
    ...fields,
    claimOrder,
    claims: fields.claims.delete(key),
    answerChars: fields.answerChars - answerCharsOf(prior),
    expired: isClaimable ? fields.expired : fields.expired.add(key),
  };
}

function answerCharsOf(claim: ClaimState | undefined): number {
  return claim?.outcome?.bodyBase64.length ?? 0;
}

function claimKey(workspace: SettingsPath, key: string): string {
  return `${workspace} ${key}`;
}
