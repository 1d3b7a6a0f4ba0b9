import { type Failure, resultCodes } from "@pistachioreel/result-code";
import { STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";

/**
 * Answers what cannot be read as a request, and closes the connection.
 *
 * @param headers Further headers, each a whole line.
 */
export function rejectMalformedRequest(socket: Duplex, failure: Failure, headers: readonly string[] = []): void {
    if (!socket.writable) {
        socket.destroy();
        return;
    }
    const { status } = resultCodes[failure.code];
    const lines = [`HTTP/1.1 ${status} ${STATUS_CODES[status]}`, "connection: close", "content-length: 0", ...headers];
    socket.end(`${lines.join("\r\n")}\r\n\r\n`);
}
