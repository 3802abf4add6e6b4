/**
 * JSON codecs of the control, request and ledger states, for checkpoints.
 * Decoding validates the entire text, so that a state is never loaded partly.
 */
import { List, Map as PersistentMap } from "immutable";
import { err, ok, Result } from "neverthrow";
import { z } from "zod";
import {
  settingsPathSchema,
  SettingsTree,
  versionNameSchema,
} from "../model/mod.ts";
import { BoundedMap } from "./bounded_map.ts";
import { CONTROL_LIMITS, ControlState } from "./control.ts";
import { EditHistory } from "./edit_history.ts";
import { ExpiredKeys, expiredKeysSchema } from "./expired_keys.ts";
import { billKeyOf, LedgerState, MAX_BILLS } from "./ledger.ts";
import {
  billSchema,
  burnSchema,
  claimSchema,
  editSchema,
  outcomeSchema,
  qualitySchema,
  rolloutStepSchema,
  spendSchema,
} from "./record.ts";
import { REQUEST_WINDOW, RequestState } from "./requests.ts";

/** Encodes a state as text and decodes it. */
export interface StateCodec<State> {
  encode(state: State): string;
  /** Fails with a description of the first violated rule. */
  decode(text: string): Result<State, string>;
}

const positionSchema = z.number().int().min(0);
const countSchema = z.number().int().min(0);

function pairsOf<Value extends z.ZodType>(
  value: Value,
): z.ZodArray<z.ZodTuple<[z.ZodString, Value], null>> {
  return z.array(z.tuple([z.string(), value]));
}

const decidedEditSchema = z.strictObject({
  position: positionSchema,
  edit: editSchema,
  verdict: z.enum(["accepted", "conflict", "invalid"]),
  wonBy: positionSchema.optional(),
  reason: z.string(),
});

const leaseStateSchema = z.strictObject({
  name: z.string(),
  holder: z.string(),
  ttlMs: countSchema,
  fence: positionSchema,
  position: positionSchema,
  isReleased: z.boolean(),
});

const controlSchema = z.strictObject({
  kind: z.literal("control"),
  revision: positionSchema,
  position: positionSchema,
  tree: z.unknown(),
  decided: z.array(decidedEditSchema),
  forgottenTo: positionSchema,
  leases: pairsOf(leaseStateSchema),
  rollouts: pairsOf(
    z.strictObject({ position: positionSchema, step: rolloutStepSchema }),
  ),
  quality: pairsOf(qualitySchema),
  burn: pairsOf(burnSchema),
  spends: pairsOf(spendSchema),
  skippedCount: countSchema,
});

/** Codec of the control state. */
export const controlCodec: StateCodec<ControlState> = {
  encode: ({ fields }) =>
    JSON.stringify(
      {
        kind: "control",
        revision: fields.revision,
        position: fields.position,
        tree: fields.tree.toJson(),
        decided: [...fields.edits.decided],
        forgottenTo: fields.edits.evictedTo,
        leases: fields.leases.toPairs(),
        rollouts: fields.rollouts.toPairs(),
        quality: fields.quality.toPairs(),
        burn: fields.burn.toPairs(),
        spends: fields.spends.toPairs(),
        skippedCount: fields.skippedCount,
      } satisfies z.input<typeof controlSchema>,
    ),
  decode: (text) =>
    parse(text, controlSchema).andThen((json) =>
      SettingsTree.fromJson(json.tree)
        .mapErr((error) => error.message)
        .map((tree) => controlOf(json, tree))
    ),
};

function controlOf(
  json: z.infer<typeof controlSchema>,
  tree: SettingsTree,
): ControlState {
  const decided = json.decided.map((edit) => ({ ...edit, wonBy: edit.wonBy }));
  return ControlState.of({
    revision: json.revision,
    position: json.position,
    tree,
    edits: EditHistory.of(decided, json.forgottenTo),
    leases: BoundedMap.of(json.leases, CONTROL_LIMITS.leases),
    rollouts: BoundedMap.of(json.rollouts, CONTROL_LIMITS.rollouts),
    quality: BoundedMap.of(json.quality, CONTROL_LIMITS.quality),
    burn: BoundedMap.of(json.burn, CONTROL_LIMITS.burn),
    spends: BoundedMap.of(json.spends, CONTROL_LIMITS.spends),
    skippedCount: json.skippedCount,
  });
}

const claimStateSchema = z.strictObject({
  position: positionSchema,
  claim: claimSchema,
  outcome: outcomeSchema.optional(),
});

const requestSchema = z.strictObject({
  kind: z.literal("requests"),
  position: positionSchema,
  pins: z.array(z.strictObject({
    position: positionSchema,
    session: settingsPathSchema,
    version: versionNameSchema,
  })),
  claims: pairsOf(claimStateSchema),
  claimOrder: z.array(z.tuple([z.string(), positionSchema])),
  answerChars: countSchema,
  expired: expiredKeysSchema,
});

/** Codec of the state of one request stream. */
export const requestCodec: StateCodec<RequestState> = {
  encode: ({ fields }) =>
    JSON.stringify(
      {
        kind: "requests",
        position: fields.position,
        pins: fields.pins.toPairs().map(([, pin]) => pin),
        claims: [...fields.claims].sort(([a], [b]) => (a < b ? -1 : 1)),
        claimOrder: fields.claimOrder.toArray(),
        answerChars: fields.answerChars,
        expired: fields.expired.toJson(),
      } satisfies z.input<typeof requestSchema>,
    ),
  decode: (text) => parse(text, requestSchema).map(requestsOf),
};

function requestsOf(json: z.infer<typeof requestSchema>): RequestState {
  const claims = json.claims.map(([key, { position, claim, outcome }]) =>
    [key, { position, claim, outcome }] as const
  );
  return RequestState.of({
    position: json.position,
    pins: BoundedMap.of(
      json.pins.map((pin) => [pin.session, pin]),
      REQUEST_WINDOW.maxPins,
    ),
    claims: PersistentMap(claims),
    claimOrder: List(json.claimOrder),
    answerChars: json.answerChars,
    expired: ExpiredKeys.fromJson(json.expired),
    window: REQUEST_WINDOW,
  });
}

const ledgerSchema = z.strictObject({
  kind: z.literal("bills"),
  position: positionSchema,
  billCount: countSchema,
  bills: z.array(billSchema),
  totals: z.array(z.tuple([
    settingsPathSchema,
    z.strictObject({ billCount: countSchema, priceMicroEur: countSchema }),
  ])),
});

/** Codec of the ledger of one bill stream. */
export const ledgerCodec: StateCodec<LedgerState> = {
  encode: ({ fields }) =>
    JSON.stringify(
      {
        kind: "bills",
        position: fields.position,
        billCount: fields.billCount,
        bills: fields.bills.toPairs().map(([, bill]) => bill),
        totals: [...fields.totals].sort(([a], [b]) => (a < b ? -1 : 1)),
      } satisfies z.input<typeof ledgerSchema>,
    ),
  decode: (text) => parse(text, ledgerSchema).map(ledgerOf),
};

function ledgerOf(json: z.infer<typeof ledgerSchema>): LedgerState {
  return LedgerState.of({
    position: json.position,
    billCount: json.billCount,
    bills: BoundedMap.of(
      json.bills.map((bill) => [billKeyOf(bill), bill]),
      MAX_BILLS,
    ),
    totals: PersistentMap(json.totals),
  });
}

function parse<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
): Result<z.infer<Schema>, string> {
  const json = Result.fromThrowable(
    () => JSON.parse(text) as unknown,
    () => "the checkpoint is not JSON",
  )();
  if (json.isErr()) return err(json.error);
  const parsed = schema.safeParse(json.value);
  if (parsed.success) return ok(parsed.data);
  const issue = parsed.error.issues[0];
  return err(`${issue?.path.join(".")}: ${issue?.message}`);
}
