/** Addresses as the platform and the settings write them: `host:port`. */

/** A host and a port. */
export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Host and port of an address; what is no address has an empty host or port NaN. */
export function splitAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, Math.max(0, colon)),
    port: Number(address.slice(colon + 1)),
  };
}
