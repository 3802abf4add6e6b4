/**
 * `npm run demo`: runs each deployment in turn on this machine, with stand-ins,
 * three entry VMs in three places and a controller for each VM. Prints the
 * result; the exit status is 1 after a violation.
 */
import process from "node:process";
import { DEPLOYMENTS } from "../test/site_plan.ts";
import { type DemoReport, runDemo } from "./deployment_demo.ts";

const VIOLATION_EXIT_CODE = 1;

function print(report: DemoReport): void {
  for (const line of report.lines) console.log(`  ${line}`);
  for (const { promise, subject, detail } of report.violations) {
    console.log(`  VIOLATION ${promise}: ${subject}: ${detail}`);
  }
  const summary = report.violations.length === 0
    ? "no violations"
    : `${report.violations.length} violations`;
  console.log(`  ${summary}\n`);
}

let hasViolation = false;
for (const deployment of DEPLOYMENTS) {
  console.log(`${deployment}: three entry VMs, stand-ins for the rest`);
  const report = await runDemo(deployment);
  print(report);
  if (report.violations.length > 0) hasViolation = true;
}
process.exitCode = hasViolation ? VIOLATION_EXIT_CODE : 0;
