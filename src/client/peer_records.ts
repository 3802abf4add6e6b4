/** Adapter of the journal to the record exchange between peers. */
import { type RecordSource } from "../wire/mod.ts";
import { type LogJournal } from "./log_journal.ts";

/** Lets peers read entries from the control stream and supply entries to it. */
export function recordSourceOf(journal: LogJournal): RecordSource {
  return {
    freshness: () => ({
      position: journal.control().position,
      ageMs: journal.freshness().ageMs,
    }),
    recordsAfter: (position, limit) => journal.recordsAfter(position, limit),
    offer: (entries, peer) => journal.applyPeerEntries(entries, peer),
  };
}
