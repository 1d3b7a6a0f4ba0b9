import type { IncomingMessage } from "node:http";

/** Time for a caller to finish sending and to read the response, in ms. */
const LINGER_MS = 1_000;

/**
 * Delays closing the connection of a request that is refused before it has been read: what the caller still sends is
 * read and discarded for a while. Closing a connection with unread bytes sends a TCP reset, on which the caller can
 * lose a response that it has not read yet.
 */
export function lingerOnClose(request: IncomingMessage): void {
    const { socket } = request;
    // Node's HTTP server calls this after the last response of a connection.
    socket.destroySoon = () => {
        socket.end();
        socket.removeAllListeners("data").resume();
        const timer = setTimeout(() => socket.destroy(), LINGER_MS);
        socket.once("end", () => socket.destroy()).once("close", () => clearTimeout(timer));
    };
}
