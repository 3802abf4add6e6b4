/**
 * Load reports of backend servers, from the `x-load` header of an answer or the
 * body of a poll. A malformed report is ignored.
 */
import { z } from "zod";
import { versionNameSchema } from "../model/mod.ts";

const MAX_HEADER_LENGTH = 16_384;
const countSchema = z.number().int().min(0);

/** Schema of a backend server's load report. */
export const loadReportSchema = z.object({
  server: z.string().max(64),
  sequence: countSchema,
  /** Versions of an engine; absent for a plain service. */
  versions: z.array(z.object({
    version: versionNameSchema,
    state: z.enum(["loaded", "loading"]),
    adapters: z.array(z.string()).default([]),
  })).max(256).default([]),
  runningCount: countSchema,
  queuedCount: countSchema,
  slotCount: countSchema,
  memoryMb: z.number().min(0).default(0),
  usedMemoryMb: z.number().min(0).default(0),
  role: z.enum(["both", "prefill", "decode"]).default("both"),
  isLeaving: z.boolean().default(false),
});

/** A backend server's report of its own load; it may be out of date. */
export type ServerReport = Readonly<z.infer<typeof loadReportSchema>>;

/** Parses the text of a header or body; undefined if it is malformed. */
export function parseLoadReport(
  text: string | undefined,
): ServerReport | undefined {
  if (text === undefined || text.length > MAX_HEADER_LENGTH) return undefined;
  try {
    const parsed = loadReportSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
