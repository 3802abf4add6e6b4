/**
 * Counts false suspicions and false `dead` states under message loss on an
 * in-memory network. Prints one JSON line per size and loss share.
 *
 * Usage: node dist/bench/membership/loss.js
 */
import {
  entryVms,
  SimulatedNetwork,
} from "../../src/decision/membership_fixture.ts";

const SIZES = [8, 64];
const LOSS_SHARES = [0.01, 0.05, 0.2];
const PLACES = ["a", "b", "c"];
const DELAY_MS = 12;
const MINUTES = 30;
const MS_PER_MINUTE = 60_000;
const SEED = 1;

for (const size of SIZES) {
  for (const lossShare of LOSS_SHARES) {
    const network = new SimulatedNetwork({
      seed: SEED,
      delayMs: DELAY_MS,
      lossShare,
    });
    const vms = entryVms(size, PLACES);
    for (const vm of vms) network.start(vm, vms);
    network.run(MINUTES * MS_PER_MINUTE);
    const suspicions = new Set<string>();
    const deaths = new Set<string>();
    for (const { vm, incarnation, status } of network.changes) {
      if (status === "suspect") suspicions.add(`${vm} ${incarnation}`);
      if (status === "dead") deaths.add(`${vm} ${incarnation}`);
    }
    const probes = size * MINUTES * MS_PER_MINUTE / 1000;
    console.log(JSON.stringify({
      size,
      lossShare,
      probes,
      falseSuspicions: suspicions.size,
      falseDeaths: deaths.size,
    }));
  }
}
