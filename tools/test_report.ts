/** Reads the failed tests from a test run's output. */

const FAILURE_PATTERN = /^\s*not ok \d+ - (.*?)(?: # .*)?$/;

/** Returns the names of failed tests in TAP output. */
export function failedTests(lines: Iterable<string>): string[] {
  const names: string[] = [];
  for (const line of lines) {
    const name = FAILURE_PATTERN.exec(line)?.[1];
    if (name !== undefined) names.push(name);
  }
  return names;
}

/** Exit code of Node's test runner after failed tests, and only then. */
const FAILED_TESTS_EXIT_CODE = 1;

/** Whether a run failed and all of its failed tests are in `known`. */
export function hasOnlyKnownFailures(
  failed: readonly string[],
  run: {
    readonly known: readonly string[];
    /** `null` if a signal ended the run. */
    readonly exitCode: number | null;
  },
): boolean {
  return run.exitCode === FAILED_TESTS_EXIT_CODE && failed.length > 0 &&
    failed.every((name) => run.known.includes(name));
}
