import { type Failure, resultCodes } from "@pistachioreel/result-code";
import { STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";

/** Time for the caller to read the response and to close its side, in ms. */
const LINGER_MS = 2_000;

/**
 * Responds with the status of a failure to bytes that cannot be read as a request, and closes the connection. A socket
 * that can no longer be written is destroyed without a response.
 *
 * @param headers Further headers, each as `name: value` without the line break.
 */
export function rejectMalformedRequest(socket: Duplex, failure: Failure, headers: readonly string[] = []): void {
    if (!socket.writable) {
        socket.destroy();
        return;
    }
    const { status } = resultCodes[failure.code];
    const lines = [`HTTP/1.1 ${status} ${STATUS_CODES[status]}`, "connection: close", "content-length: 0", ...headers];
    socket.end(`${lines.join("\r\n")}\r\n\r\n`);
    // A caller that neither reads nor closes would hold the descriptor.
    const timer = setTimeout(() => socket.destroy(), LINGER_MS);
    socket.once("close", () => clearTimeout(timer));
}
