/**
 * Members of the group of entry VMs and the order of what is said of them. A
 * member alone raises its own incarnation; within one incarnation a graver
 * status supersedes a lighter one. All VMs therefore settle on the same view,
 * in whatever order updates arrive.
 */
import { z } from "zod";

/** Statuses, lightest first. */
export const MEMBER_STATUSES = [
  "alive",
  "leaving",
  "suspect",
  "dead",
  "left",
] as const;

const MAX_NAME_LENGTH = 64;

/** Codec of what one VM says of a member. */
export const memberUpdateSchema = z.object({
  vm: z.string().min(1).max(MAX_NAME_LENGTH),
  place: z.string().min(1).max(MAX_NAME_LENGTH),
  address: z.string().max(MAX_NAME_LENGTH),
  peerAddress: z.string().max(MAX_NAME_LENGTH),
  incarnation: z.number().int().min(0),
  status: z.enum(MEMBER_STATUSES),
});

/** What one VM says of a member. */
export type MemberUpdate = Readonly<z.infer<typeof memberUpdateSchema>>;
/** The status of a member. */
export type MemberStatus = MemberUpdate["status"];
/** What the platform's VM list says of a member; `unknown` without a list. */
export type ListedStatus = "unknown" | "live" | "leaving" | "absent";

/** What this VM holds of another one. */
export interface Member {
  readonly update: MemberUpdate;
  /** When the status last changed here. */
  readonly changedAtMs: number;
  /** When a message came from the member itself, if ever. */
  readonly lastMessageAtMs: number | undefined;
  /** The load that the member reported with that message. */
  readonly loadShare: number | undefined;
  /** When suspicion turns into death; only for a suspect. */
  readonly suspectUntilMs: number | undefined;
  readonly listed: ListedStatus;
  /** Its own last word differs from the update held; it has to restate. */
  readonly isDisputed: boolean;
}

/** Whether `next` replaces `current`, both about the same member. */
export function supersedes(next: MemberUpdate, current: MemberUpdate): boolean {
  if (next.incarnation !== current.incarnation) {
    return next.incarnation > current.incarnation;
  }
  return rankOf(next.status) > rankOf(current.status);
}

/** Whether a member takes part: it answers probes as far as is known. */
export function isPresent(status: MemberStatus): boolean {
  return status === "alive" || status === "leaving" || status === "suspect";
}

function rankOf(status: MemberStatus): number {
  return MEMBER_STATUSES.indexOf(status);
}
