/**
 * The loopback address of this process's servers in tests. Connections leave from
 * 127.0.0.1 and tests run in processes of their own, so no other process takes a
 * port that a server here has closed and binds again, or sends requests to it.
 */
import process from "node:process";

const { pid } = process;

export const LOOPBACK_HOST = `127.${64 + (pid >> 14) % 64}.${
  (pid >> 7) % 128
}.${1 + pid % 128}`;
