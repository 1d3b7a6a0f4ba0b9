import type { IncomingMessage, ServerResponse } from "node:http";
import { detourHeaders } from "./detourHeaders.js";
import type { RequestListener } from "./requestListener.js";

interface DetourListenerOptions {
    /** Proves that a request comes from a host of the fleet. */
    readonly token: string;
    readonly listener: Pick<RequestListener, "handleDetoured">;
}

/** Requests of other hosts that run at once; the host needs its resources for its own callers. */
const MAX_RUNNING = 192;
/** Names and values of the fields after which Node leaves out the rest of a head by default. */
const MAX_RAW_HEADERS = 2_000;
const DETOUR_PATTERN = /^(\S+) (\d{1,3})$/;

/** Accepts requests that other hosts, which reach no targets, pass on to this one. */
export class DetourListener {
    private running = 0;

    constructor(private readonly opts: DetourListenerOptions) {}

    /** Handles one HTTP request on the listener for other hosts. */
    async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { token, listener } = this.opts;
        const [, sentToken, attempts] = DETOUR_PATTERN.exec(request.headers[detourHeaders.request]?.toString() ?? "") ??
            [];
        if (sentToken !== token) {
            refuse(response, 403, "peerRejected");
            return;
        }
        if (request.rawHeaders.length >= MAX_RAW_HEADERS) {
            refuse(response, 503, "headerTooLarge");
            return;
        }
        if (this.running >= MAX_RUNNING) {
            refuse(response, 503, "queueFull");
            return;
        }
        this.running++;
        try {
            await listener.handleDetoured(request, response, { maxAttempts: Number(attempts) });
        }
        finally {
            this.running--;
        }
    }
}

/** Refuses without reading the request, so its connection is closed. */
function refuse(response: ServerResponse, status: number, code: string): void {
    response.shouldKeepAlive = false;
    response.writeHead(status, { [detourHeaders.refusal]: code, "content-length": 0 }).end();
}
