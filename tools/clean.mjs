// Removes the build folder, so that a deleted source leaves no stale output.
import { rmSync } from "node:fs";

rmSync("dist", { recursive: true, force: true });
