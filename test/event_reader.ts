/** Reads the server-sent events of a streamed answer. */
import { z } from "zod";

const chunkSchema = z.object({
  model: z.string(),
  choices: z.array(z.object({
    delta: z.object({ content: z.string().optional() }),
  })),
});

const problemSchema = z.object({
  outcome: z.enum(["not_run", "may_have_run", "failed"]).optional(),
  reason: z.string().default(""),
  status: z.number().default(0),
  retryAfterMs: z.number().optional(),
});

/** The fields of a problem document that a caller reads. */
export type Problem = z.infer<typeof problemSchema>;

/** One server-sent event of an answer. */
export type AnswerEvent =
  | {
    readonly kind: "chunk";
    readonly index: number;
    readonly version: string;
    readonly text: string;
  }
  | { readonly kind: "done" }
  | { readonly kind: "problem"; readonly problem: Problem };

/**
 * Parses a problem document. An unreadable one has no outcome and the reason
 * `unreadable`.
 */
export function parseProblem(text: string): Problem {
  try {
    return problemSchema.parse(JSON.parse(text));
  } catch {
    return { reason: "unreadable", status: 0 };
  }
}

/** Yields the events of a body in order until it ends. */
export async function* readEvents(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<AnswerEvent> {
  const decoder = new TextDecoder();
  let buffered = "";
  for await (const bytes of body) {
    buffered += decoder.decode(bytes, { stream: true });
    let end = buffered.indexOf("\n\n");
    while (end >= 0) {
      const event = parseEvent(buffered.slice(0, end));
      buffered = buffered.slice(end + 2);
      if (event !== undefined) yield event;
      end = buffered.indexOf("\n\n");
    }
  }
}

function parseEvent(text: string): AnswerEvent | undefined {
  const fields = new Map<string, string>();
  for (const line of text.split("\n")) {
    const colon = line.indexOf(":");
    if (colon > 0) {
      fields.set(line.slice(0, colon), line.slice(colon + 1).trim());
    }
  }
  const data = fields.get("data");
  if (data === undefined) return undefined;
  if (data === "[DONE]") return { kind: "done" };
  if (fields.get("event") === "error") {
    return { kind: "problem", problem: parseProblem(data) };
  }
  const chunk = chunkSchema.parse(JSON.parse(data));
  return {
    kind: "chunk",
    index: Number(fields.get("id") ?? "-1"),
    version: chunk.model,
    text: chunk.choices[0]?.delta.content ?? "",
  };
}
