/** The failures in the output of a test run, without those that are known. */

const FAILURE_PATTERN = /^\s*not ok \d+ - (.*?)(?: # .*)?$/;

/** Names of the failed tests in lines of TAP. */
export function failedTests(lines: Iterable<string>): string[] {
  const names: string[] = [];
  for (const line of lines) {
    const name = FAILURE_PATTERN.exec(line)?.[1];
    if (name !== undefined) names.push(name);
  }
  return names;
}

/** Node's runner ends with this code after failed tests, and only then. */
const FAILED_TESTS_CODE = 1;

/** Whether a run failed in nothing but tests that are known to. */
export function hasOnlyKnownFailures(
  failed: readonly string[],
  run: {
    readonly known: readonly string[];
    /** `null` for a run that was ended by a signal. */
    readonly exitCode: number | null;
  },
): boolean {
  return run.exitCode === FAILED_TESTS_CODE && failed.length > 0 &&
    failed.every((name) => run.known.includes(name));
}
