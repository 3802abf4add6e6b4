/**
 * Pins and claims, by replay of the request streams. The first pin of a session
 * and the first claim of a key win; a key is free again only after an outcome
 * that says its claimed request was not run.
 *
 * The state is a window: the oldest pins and claims leave it by the number and
 * size of newer ones, so that every VM drops the same ones at the same record.
 * A key that has left the window cannot be claimed again.
 */
import { List, Map as PersistentMap } from "immutable";
import { type SettingsPath, type VersionName } from "../model/mod.ts";
import { BoundedMap } from "./bounded_map.ts";
import { ExpiredKeys } from "./expired_keys.ts";
import { type Position, positionOf, START_POSITION } from "./position.ts";
import { type LogEntry, type RecordOf } from "./record.ts";

/** The claim that holds a key, and its outcome once one is recorded. */
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

/** Bounds of the window of one request stream. */
export interface RequestWindow {
  readonly maxPins: number;
  readonly maxClaims: number;
  /** Characters of all recorded answers together. */
  readonly maxAnswerChars: number;
}

/** The window that every VM uses: replay must decide alike everywhere. */
export const REQUEST_WINDOW: RequestWindow = {
  maxPins: 20_000,
  maxClaims: 20_000,
  maxAnswerChars: 8 * 1024 * 1024,
};

/** The parts of a request state. */
export interface RequestFields {
  readonly position: Position;
  readonly pins: BoundedMap<SettingsPath, PinState>;
  readonly claims: PersistentMap<string, ClaimState>;
  /** Keys and positions of claims, oldest first, with those replaced. */
  readonly claimOrder: List<[string, Position]>;
  readonly answerChars: number;
  readonly expired: ExpiredKeys;
  readonly window: RequestWindow;
}

/** Pins and claims of one request stream. */
export class RequestState {
  /** The parts, for checkpoints. */
  readonly fields: RequestFields;

  private constructor(fields: RequestFields) {
    this.fields = fields;
  }

  /** The state before any record. */
  static readonly empty: RequestState = RequestState.create(REQUEST_WINDOW);

  /** The state before any record, with a window of its own. */
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

  /** A state of these parts. */
  static of(fields: RequestFields): RequestState {
    return new RequestState(fields);
  }

  /** Position of the newest record applied. */
  get position(): Position {
    return this.fields.position;
  }

  /** The pinned version of a session. */
  pinOf(session: SettingsPath): VersionName | undefined {
    return this.fields.pins.get(session)?.version;
  }

  /** The claim that holds a workspace's key. */
  claimOf(workspace: SettingsPath, key: string): ClaimState | undefined {
    return this.fields.claims.get(claimKey(workspace, key));
  }

  /** False for a key that has left the window and cannot be claimed again. */
  isInWindow(workspace: SettingsPath, key: string): boolean {
    return !this.fields.expired.has(claimKey(workspace, key));
  }

  /** The state after one log entry; entries at or before it change nothing. */
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
  const held = fields.claims.get(key);
  if (held !== undefined && held.outcome?.result !== "not_run") return fields;
  if (held?.claim.id === claim.id) return fields;
  if (fields.expired.has(key)) return fields;
  const next: ClaimState = { position, claim, outcome: undefined };
  return evictClaims({
    ...fields,
    claims: fields.claims.set(key, next),
    claimOrder: fields.claimOrder.push([key, position]),
    answerChars: fields.answerChars - answerCharsOf(held),
  });
}

function withOutcome(
  fields: RequestFields,
  outcome: RecordOf<"outcome">,
): RequestFields {
  const key = claimKey(outcome.workspace, outcome.key);
  const held = fields.claims.get(key);
  if (held === undefined || held.claim.id !== outcome.claimId) return fields;
  if (held.outcome !== undefined && held.outcome.result !== "unknown") {
    return fields;
  }
  const next: ClaimState = { ...held, outcome };
  return evictClaims({
    ...fields,
    claims: fields.claims.set(key, next),
    answerChars: fields.answerChars + answerCharsOf(next) -
      answerCharsOf(held),
  });
}

function evictClaims(start: RequestFields): RequestFields {
  let fields = start;
  while (isOverBound(fields)) {
    const oldest = fields.claimOrder.first();
    if (oldest === undefined) return fields;
    fields = evictClaim(fields, oldest);
  }
  return fields;
}

function isOverBound(fields: RequestFields): boolean {
  const { maxClaims, maxAnswerChars } = fields.window;
  return fields.claimOrder.size > maxClaims ||
    fields.answerChars > maxAnswerChars;
}

function evictClaim(
  fields: RequestFields,
  [key, position]: [string, Position],
): RequestFields {
  const claimOrder = fields.claimOrder.shift();
  const held = fields.claims.get(key);
  if (held?.position !== position) return { ...fields, claimOrder };
  const isFree = held.outcome?.result === "not_run";
  return {
    ...fields,
    claimOrder,
    claims: fields.claims.delete(key),
    answerChars: fields.answerChars - answerCharsOf(held),
    expired: isFree ? fields.expired : fields.expired.add(key),
  };
}

function answerCharsOf(claim: ClaimState | undefined): number {
  return claim?.outcome?.bodyBase64.length ?? 0;
}

function claimKey(workspace: SettingsPath, key: string): string {
  return `${workspace} ${key}`;
}
