/** Addresses between processes, as `host:port` with a numeric host. */
import { err, ok, type Result } from "neverthrow";
import { WireError } from "./error.ts";

const MAX_PORT = 65_535;

/** A host and a port. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Reads an address. */
export function parseAddress(address: string): Result<HostAndPort, WireError> {
  const colon = address.lastIndexOf(":");
  const port = Number(address.slice(colon + 1));
  if (colon < 1 || !Number.isInteger(port) || port < 1 || port > MAX_PORT) {
    return err(new WireError("unreachable", `"${address}" is no address`));
  }
  return ok({ host: address.slice(0, colon), port });
}
