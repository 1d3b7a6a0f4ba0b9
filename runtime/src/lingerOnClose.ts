import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** Time for a caller to finish sending and to read the response, in ms. */
const LINGER_MS = 10_000;
/** Bytes that a caller may still send meanwhile. */
const MAX_DISCARDED_BYTES = 16 * 1024 * 1024;
/** A caller that sends less than `MIN_PROGRESS_BYTES` in this time, in ms, has stopped, and its connection is closed. */
const PROGRESS_INTERVAL_MS = 2_500;
const MIN_PROGRESS_BYTES = 1024;

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
        discardIncoming(socket);
    };
}

/** Takes the bytes of a socket away from Node's parser, which would report each chunk of the body on its own, and drops them. */
function discardIncoming(socket: Socket): void {
    const endsAt = performance.now() + LINGER_MS;
    let discardedBytes = 0;
    let checkedBytes = 0;
    const timer = setInterval(() => {
        if (discardedBytes - checkedBytes < MIN_PROGRESS_BYTES || performance.now() >= endsAt) {
            socket.destroy();
        }
        checkedBytes = discardedBytes;
    }, PROGRESS_INTERVAL_MS);
    socket.once("end", () => socket.destroy()).once("close", () => clearInterval(timer));
    socket.removeAllListeners("data");
    socket.on("data", (bytes: Buffer) => {
        discardedBytes += bytes.length;
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            socket.destroy();
        }
    }).resume();
    // Restarts a socket that was paused because nobody read the request; `resume` alone does not, as its read has not ended.
    socket._read(0);
}
