/**
 * Runs one program of the product as a child process with a settings file,
 * collects its JSON log lines, and sends signals to that process only.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";

const MAX_LINES = 5000;
const CLOCK_TICKS_PER_SECOND = 100;

/** One JSON log line. */
export type LogLine = Readonly<Record<string, unknown>>;

/** Options for starting a program. */
export interface ProgramOptions {
  readonly script: string;
  readonly settingsFile: string;
  readonly settings: unknown;
}

/** Processor time and memory used by a process. */
export interface ProgramUsage {
  readonly cpuMs: number;
  readonly memoryMb: number;
}

/** A running program. */
export class Program {
  readonly lines: LogLine[] = [];
  readonly errors: string[] = [];
  readonly #child: ChildProcess;
  readonly #exited: Promise<unknown>;
  #hasExited = false;

  constructor(options: ProgramOptions) {
    writeFileSync(options.settingsFile, JSON.stringify(options.settings));
    this.#child = spawn(process.execPath, [
      options.script,
      options.settingsFile,
    ], { stdio: ["ignore", "pipe", "pipe"] });
    this.#exited = once(this.#child, "exit").then(() => {
      this.#hasExited = true;
    });
    this.#collect();
  }

  get hasExited(): boolean {
    return this.#hasExited;
  }

  /** The exit status; `null` while running or after a signal. */
  get status(): number | null {
    return this.#child.exitCode;
  }

  /** Sends a signal to this process only. */
  signal(name: NodeJS.Signals): void {
    if (!this.#hasExited) this.#child.kill(name);
  }

  /** Sends SIGKILL and waits until the process has exited. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.#exited;
  }

  /** Sends SIGTERM and waits until the process has exited. */
  async stop(): Promise<void> {
    this.signal("SIGTERM");
    await this.#exited;
  }

  /** Resolves once the process has exited. */
  async ended(): Promise<void> {
    await this.#exited;
  }

  /** Reads processor time and memory; both are 0 after the process exited. */
  usage(): ProgramUsage {
    const { pid } = this.#child;
    if (this.#hasExited || pid === undefined) return { cpuMs: 0, memoryMb: 0 };
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const memoryKb = /VmRSS:\s+(\d+)/.exec(status)?.[1] ?? "0";
    return {
      cpuMs: ticks * 1000 / CLOCK_TICKS_PER_SECOND,
      memoryMb: Number(memoryKb) / 1024,
    };
  }

  #collect(): void {
    const { stdout, stderr } = this.#child;
    if (stdout !== null) {
      createInterface({ input: stdout }).on(
        "line",
        (line) => this.#storeLine(line),
      );
    }
    if (stderr !== null) {
      createInterface({ input: stderr }).on("line", (line) => {
        if (this.errors.length < MAX_LINES) this.errors.push(line);
      });
    }
  }

  #storeLine(line: string): void {
    if (this.lines.length >= MAX_LINES) this.lines.shift();
    try {
      this.lines.push(JSON.parse(line) as LogLine);
    } catch {
      this.errors.push(line);
    }
  }
}
