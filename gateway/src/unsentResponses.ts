import { resetConnection } from "@pistachioreel/runtime";
import type { ServerResponse } from "node:http";

/** Memory of a response besides its body. */
const RESPONSE_OVERHEAD_BYTES = 1_024;

/** Responses that wait in memory for their callers to read them. If they are too many bytes, the one that has waited longest is dropped. */
export class UnsentResponses {
    private usedBytes = 0;
    private readonly sizes = new Map<ServerResponse, number>();

    /** @param maxBytes Most bytes of all responses together; a single one may be larger. */
    constructor(private readonly maxBytes: number) {}

    /** Memory of the responses, in bytes. */
    get used(): number {
        return this.usedBytes;
    }

    /** Adds a response until it has been handed to the operating system. Resets the connections of earlier ones if there are too many. */
    add(response: ServerResponse, bodyBytes: number): void {
        const bytes = bodyBytes + RESPONSE_OVERHEAD_BYTES;
        const { socket } = response.req;
        if (this.sizes.has(response) || socket.destroyed) {
            return;
        }
        this.sizes.set(response, bytes);
        this.usedBytes += bytes;
        const remove = () => {
            socket.off("close", remove);
            this.usedBytes -= this.sizes.get(response) ?? 0;
            this.sizes.delete(response);
        };
        response.once("close", remove);
        // A response that waits for an earlier one of its connection is not told that the connection has closed.
        socket.once("close", remove);
        this.dropOldest(response);
    }

    private dropOldest(added: ServerResponse): void {
        for (const [response, bytes] of this.sizes) {
            if (this.usedBytes <= this.maxBytes || response === added) {
                return;
            }
            // Its memory is free once the connection has closed, which is before the next event.
            this.usedBytes -= bytes;
            this.sizes.delete(response);
            resetConnection(response.req.socket);
        }
    }
}
