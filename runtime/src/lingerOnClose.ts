import type { IncomingMessage } from "node:http";

/** Time in which a caller can finish sending and read the answer, in ms. */
const LINGER_MS = 1_000;

/**
 * Makes the connection of a request that is refused before it has been read close gently: what the caller still sends is
 * read and dropped. Closing a connection with unread bytes resets it, and a reset can destroy the answer on its way.
 */
export function lingerOnClose(request: IncomingMessage): void {
    const { socket } = request;
    // Node's server calls this after the last answer of a connection.
    socket.destroySoon = () => {
        socket.end();
        socket.removeAllListeners("data").resume();
        const timer = setTimeout(() => socket.destroy(), LINGER_MS);
        socket.once("end", () => socket.destroy()).once("close", () => clearTimeout(timer));
    };
}
