/** Finds out whether a connection to an address can be established. */
import { connect } from "node:net";
import { splitAddress } from "../../model/mod.ts";
import { ReadTimeout } from "../read_timeout.ts";

export interface ConnectOptions {
  readonly timeoutMs: number;
  /**
   * Whether a connection that is reset at once counts as established, as by a
   * server at its limit of connections; true unless stated.
   */
  readonly isResetAccepted?: boolean;
}

/** Connects and closes at once; resolves to whether that worked in time. */
export function connects(
  address: string,
  { timeoutMs, isResetAccepted = true }: ConnectOptions,
): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(splitAddress(address));
    const end = (isConnected: boolean): void => {
      timeout.stop();
      socket.destroy();
      resolve(isConnected);
    };
    const timeout = new ReadTimeout(timeoutMs, () => end(false));
    socket.once("connect", () => end(true));
    socket.on("error", ({ code }: NodeJS.ErrnoException) => {
      end(code === "ECONNRESET" && isResetAccepted);
    });
  });
}
