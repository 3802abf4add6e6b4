/** Listening for connections. */
import { type AddressInfo, type ListenOptions, type Server } from "node:net";

/** Where to listen, and what happens when a connection can't be accepted. */
export interface Listening extends ListenOptions {
  readonly onAcceptError: (error: NodeJS.ErrnoException) => void;
}

/**
 * Listens and resolves with the port; rejects if that fails. Later errors are
 * those of single connections, as while memory is short; without a listener
 * they would end the process.
 */
export function listen(
  server: Server,
  { onAcceptError, ...options }: Listening,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(options, () => {
      server.off("error", reject).on("error", onAcceptError);
      resolve((server.address() as AddressInfo).port);
    });
  });
}
