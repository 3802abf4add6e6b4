/** Addresses of processes, as `host:port` with a numeric host. */
import { err, ok, type Result } from "neverthrow";
import { type HostAndPort, splitAddress } from "../model/mod.ts";
import { WireError } from "./error.ts";

const MAX_PORT = 65_535;

/** Splits an address into host and port; fails with `unreachable`. */
export function parseAddress(address: string): Result<HostAndPort, WireError> {
  const { host, port } = splitAddress(address);
  if (host === "" || !Number.isInteger(port) || port < 1 || port > MAX_PORT) {
    return err(
      new WireError("unreachable", `"${address}" is not a host:port address`),
    );
  }
  return ok({ host, port });
}
