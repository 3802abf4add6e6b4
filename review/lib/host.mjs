/**
 * The loopback address on which all servers of one run listen. Connections leave
 * from 127.0.0.1, so none of them takes a port that a server has to bind again,
 * and runs beside each other don't meet.
 */
import process from "node:process";

const { pid } = process;

export const HOST = `127.${64 + (pid >> 14) % 64}.${(pid >> 7) % 128}.${
  1 + pid % 128
}`;
