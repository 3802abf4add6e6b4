/**
 * `npm run demo`: both deployments on this machine, one after the other, each
 * with stand-ins, three entry VMs in three places and a controller for each.
 * Prints what happened; the exit status is 1 when a promise was broken.
 */
import process from "node:process";
import { DEPLOYMENTS } from "../test/site_plan.ts";
import { type DemoReport, runDemo } from "./deployment_demo.ts";

const BROKEN_STATUS = 1;

function print(report: DemoReport): void {
  for (const line of report.lines) console.log(`  ${line}`);
  for (const { promise, subject, detail } of report.violations) {
    console.log(`  BROKEN ${promise}: ${subject}: ${detail}`);
  }
  const verdict = report.violations.length === 0
    ? "every promise was kept"
    : `${report.violations.length} broken promises`;
  console.log(`  ${verdict}\n`);
}

let isBroken = false;
for (const deployment of DEPLOYMENTS) {
  console.log(`${deployment}: three entry VMs, stand-ins for the rest`);
  const report = await runDemo(deployment);
  print(report);
  if (report.violations.length > 0) isBroken = true;
}
process.exitCode = isBroken ? BROKEN_STATUS : 0;
