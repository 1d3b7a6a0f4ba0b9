import type { Socket } from "node:net";

/**
 * Whether an open connection has been reset by its peer. Its `end` event does not tell, as it also follows a reset that arrives
 * together with bytes.
 *
 * Asks the operating system for the address of the peer, which a connection that was reset no longer has. The socket keeps the first
 * address that it is told, so that nothing else may read `remoteAddress` before.
 */
export function wasReset(socket: Socket): boolean {
    return socket.remoteAddress === undefined;
}
