/** The messages by which VMs lend each other shares of divided limits. */
import { z } from "zod";

/** The divided limits whose shares are lent. */
export const LEASE_KINDS = ["limit", "cold"] as const;
export type LeaseKind = typeof LEASE_KINDS[number];

/** Bounds a message, whatever the number of servers. */
export const MAX_LEASES = 16;
const MAX_NAME_LENGTH = 255;

const kindSchema = z.enum(LEASE_KINDS);
const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);

const leaseAskSchema = z.object({
  leaseAsk: z.array(z.tuple([kindSchema, nameSchema])).max(MAX_LEASES),
});

const leaseAnswerSchema = z.object({
  leases: z.array(z.tuple([kindSchema, nameSchema, z.number().positive()]))
    .max(MAX_LEASES),
});

/** Asks a VM for its shares of servers. */
export type LeaseAsk = Readonly<z.infer<typeof leaseAskSchema>>;
/** The shares that a VM lends, with their requests a second. */
export type LeaseAnswer = Readonly<z.infer<typeof leaseAnswerSchema>>;

/** Parses a request for shares; undefined when the value is something else. */
export function parseLeaseAsk(value: unknown): LeaseAsk | undefined {
  const parsed = leaseAskSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

/** Parses the answer; undefined from a VM that lends no shares. */
export function parseLeaseAnswer(value: unknown): LeaseAnswer | undefined {
  const parsed = leaseAnswerSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
