/** Parsing of `host:port` addresses. */

export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/**
 * Splits an address at its last colon. A malformed address gives an empty host
 * or the port `NaN`.
 */
export function splitAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, Math.max(0, colon)),
    port: Number(address.slice(colon + 1)),
  };
}
