/**
 * Members of the group of entry VMs, and which of two updates about a member
 * wins. Only the member itself raises its incarnation; within one incarnation
 * the status later in `MEMBER_STATUSES` wins. All VMs therefore converge on the
 * same view, whatever the order in which updates arrive.
 */
import { z } from "zod";

/** Statuses; a later one supersedes an earlier one. */
export const MEMBER_STATUSES = [
  "alive",
  "leaving",
  "suspect",
  "dead",
  "left",
] as const;

const MAX_NAME_LENGTH = 64;

/** Schema of an update about a member, as sent between VMs. */
export const memberUpdateSchema = z.object({
  vm: z.string().min(1).max(MAX_NAME_LENGTH),
  place: z.string().min(1).max(MAX_NAME_LENGTH),
  address: z.string().max(MAX_NAME_LENGTH),
  peerAddress: z.string().max(MAX_NAME_LENGTH),
  incarnation: z.number().int().min(0),
  status: z.enum(MEMBER_STATUSES),
  /**
   * How long ago the sender had evidence that the member was alive; absent
   * without any, and from VMs of an earlier release.
   */
  heardMs: z.number().min(0).optional(),
});

/** The address and status of a member, as stated by one VM. */
export type MemberUpdate = Readonly<z.infer<typeof memberUpdateSchema>>;
export type MemberStatus = MemberUpdate["status"];
/** Status in the platform's VM list; `unknown` before the first list. */
export type ListedStatus = "unknown" | "live" | "leaving" | "absent";

/** This VM's record of another member. */
export interface Member {
  readonly update: MemberUpdate;
  /** When this VM last stored an update of the member. */
  readonly changedAtMs: number;
  /** When the latest message from the member itself arrived, if any. */
  readonly lastMessageAtMs: number | undefined;
  /** The load that the member last reported. */
  readonly loadShare: number | undefined;
  /** When a suspect member is declared dead. */
  readonly suspectUntilMs: number | undefined;
  readonly listed: ListedStatus;
  /** The member's own message conflicts with `update`; it has to refute it. */
  readonly isDisputed: boolean;
  /** When the member was last known to be alive, from itself or by hearsay. */
  readonly aliveAtMs: number | undefined;
  /**
   * Whether the member was known to be alive while this VM took part in the
   * group without a break, so that it would have heard of its failure.
   */
  readonly isConfirmed: boolean;
}

/** Whether `next` replaces `current`, an update about the same member. */
export function supersedes(next: MemberUpdate, current: MemberUpdate): boolean {
  if (next.incarnation !== current.incarnation) {
    return next.incarnation > current.incarnation;
  }
  return rankOf(next.status) > rankOf(current.status);
}

/** Whether a member with this status takes part and is probed. */
export function isPresent(status: MemberStatus): boolean {
  return status === "alive" || status === "leaving" || status === "suspect";
}

function rankOf(status: MemberStatus): number {
  return MEMBER_STATUSES.indexOf(status);
}
