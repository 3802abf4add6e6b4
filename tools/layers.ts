/**
 * The layers of `src/` and their rules. A module imports only from its own
 * layer and lower ones. Pure layers use no I/O: their clock, random source and
 * transport are parameters.
 */

/** The layers, lowest first. */
export const LAYERS: readonly string[] = [
  "model",
  "state",
  "decision",
  "wire",
  "client",
  "filter",
  "gateway",
  "controller",
  "report",
  "command",
  "bin",
];

/** The folder of the adapter between the product and the users' platform. */
export const ADAPTER = "platform";

const PURE_LAYERS: readonly string[] = ["model", "state", "decision"];

const IO_PATTERN =
  /\bnode:(net|http|https|dgram|fs|timers|child_process)|\bDate\.now\(|\bMath\.random\(|\bperformance\.now\(|\bset(Timeout|Interval)\(/;

const IMPORT_PATTERN = /(?:from|import)\s*\(?\s*"([^"]+)"/g;

/** A rule violation, described by `rule`. */
export interface LayerViolation {
  readonly file: string;
  readonly rule: string;
}

/** Checks one file in `src/`; `file` is relative to the repository root. */
export function checkLayer(file: string, source: string): LayerViolation[] {
  const parts = file.split("/");
  const layer = parts[1] ?? "";
  const rank = LAYERS.indexOf(layer);
  if (rank < 0) return [{ file, rule: `unknown layer "${layer}"` }];
  const violations: LayerViolation[] = [];
  for (const match of source.matchAll(IMPORT_PATTERN)) {
    const target = match[1] ?? "";
    const rule = importViolation({ layer, rank, parts, target });
    if (rule !== undefined) violations.push({ file, rule });
  }
  const isTest = file.endsWith("_test.ts");
  if (!isTest && PURE_LAYERS.includes(layer) && IO_PATTERN.test(source)) {
    violations.push({
      file,
      rule: `layer "${layer}" uses I/O, a clock or a timer`,
    });
  }
  return violations;
}

/** Checks one adapter file, which may import only `src` and the adapter. */
export function checkAdapter(file: string, source: string): LayerViolation[] {
  const violations: LayerViolation[] = [];
  for (const match of source.matchAll(IMPORT_PATTERN)) {
    const target = match[1] ?? "";
    if (!target.startsWith(".")) continue;
    const path = resolveFrom(file.split("/").slice(0, -1), target);
    if (path[0] === "src" || path[0] === ADAPTER) continue;
    violations.push({ file, rule: `imports "${target}" from outside src` });
  }
  return violations;
}

/** Finds import cycles between files. */
export function checkImportCycles(
  sources: ReadonlyMap<string, string>,
): LayerViolation[] {
  const violations: LayerViolation[] = [];
  const visited = new Set<string>();
  const path: string[] = [];
  const visit = (file: string): void => {
    const start = path.indexOf(file);
    if (start >= 0) {
      const rule = `import cycle: ${path.slice(start).join(" > ")} > ${file}`;
      violations.push({ file, rule });
      return;
    }
    if (visited.has(file)) return;
    path.push(file);
    for (const target of importsOf(file, sources.get(file) ?? "")) {
      visit(target);
    }
    path.pop();
    visited.add(file);
  };
  for (const file of sources.keys()) visit(file);
  return violations;
}

function importsOf(file: string, source: string): string[] {
  const targets: string[] = [];
  for (const match of source.matchAll(IMPORT_PATTERN)) {
    const target = match[1] ?? "";
    if (!target.startsWith(".")) continue;
    targets.push(resolveFrom(file.split("/").slice(0, -1), target).join("/"));
  }
  return targets;
}

interface ImportSite {
  readonly layer: string;
  readonly rank: number;
  readonly parts: readonly string[];
  readonly target: string;
}

function importViolation(site: ImportSite): string | undefined {
  if (!site.target.startsWith(".")) return undefined;
  const path = resolveFrom(site.parts.slice(0, -1), site.target);
  if (path[0] !== "src") return `imports "${site.target}" from outside src`;
  const rank = LAYERS.indexOf(path[1] ?? "");
  if (rank < 0) return `imports "${site.target}", which is in no layer`;
  if (rank <= site.rank) return undefined;
  return `layer "${site.layer}" imports the higher layer "${path[1]}"`;
}

function resolveFrom(folder: readonly string[], target: string): string[] {
  const path = [...folder];
  for (const step of target.split("/")) {
    if (step === "..") path.pop();
    else if (step !== ".") path.push(step);
  }
  return path;
}
