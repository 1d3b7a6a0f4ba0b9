import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** One request that a server has run. */
export interface RunRequest {
    readonly id: string;
    readonly server: string;
    readonly path: string;
    readonly bodyBytes: number;
    /** Monotonic time in ms at which the server began to run it. */
    readonly at: number;
}

interface ReviewServerOptions {
    readonly id: string;
    readonly slots: number;
    /** Time that a request takes, in ms. */
    readonly workMs: number;
    /** Body of the answer to a request. */
    readonly bodyOf: (request: RunRequest) => Buffer;
    /** Sends something else in place of the answer and returns true, or returns false. */
    readonly interfere?: (request: RunRequest, response: ServerResponse, sound: SoundAnswer) => boolean;
    /** Called when a request has arrived, before it is run or refused. */
    readonly onArrival?: (server: string, response: ServerResponse) => void;
    readonly onRun: (request: RunRequest) => void;
}

/** The answer that a sound server gives. */
interface SoundAnswer {
    readonly head: readonly (readonly [name: string, value: string])[];
    readonly body: Buffer;
}

const LOOPBACK = "127.0.0.1";
const QUEUE_PER_SLOT = 3;

/** A server of the platform: runs as many requests at once as it has slots, queues a few more and refuses the others. */
export class ReviewServer {
    private running = 0;
    private readonly waiting: (() => void)[] = [];
    private readonly server = createServer({ keepAliveTimeout: 10_000, requestTimeout: 0 }, (request, response) => {
        void this.handle(request, response);
    });

    constructor(private readonly opts: ReviewServerOptions) {}

    /** Starts listening on a free port; resolves to `address:port`. */
    async start(): Promise<string> {
        await new Promise<void>(resolve => this.server.listen(0, LOOPBACK, resolve));
        return `${LOOPBACK}:${(this.server.address() as AddressInfo).port}`;
    }

    stop(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { id, slots, workMs, bodyOf, interfere, onArrival, onRun } = this.opts;
        let bodyBytes = 0;
        try {
            for await (const chunk of request) {
                bodyBytes += (chunk as Buffer).length;
            }
        }
        catch {
            return;
        }
        const requestId = String(request.headers["x-request-id"]);
        if (request.headers["x-expect-instance"] !== id) {
            response.writeHead(421, { "X-Instance-Id": id, "Content-Length": 0 }).end();
            return;
        }
        onArrival?.(id, response);
        if (!await this.takeSlot(response)) {
            response.writeHead(503, { "X-Not-Run": "1", "Content-Length": 0 }).end();
            return;
        }
        const run: RunRequest = {
            id: requestId,
            server: id,
            path: request.url ?? "",
            bodyBytes,
            at: performance.now(),
        };
        onRun(run);
        await sleep(workMs * (0.85 + Math.random() * 0.3));
        const load = `${this.running},${this.waiting.length},${slots}`;
        this.releaseSlot();
        const body = bodyOf(run);
        const head = [
            ["X-Request-Id", requestId],
            ["X-Server-Stamp", `3e1b.07.5a2.${requestId}`],
            ["X-Server-Load", load],
            ["Content-Type", "application/octet-stream"],
        ] as const;
        if (interfere?.(run, response, { head, body }) === true || response.destroyed) {
            return;
        }
        response.writeHead(200, [...head, ["Content-Length", String(body.length)] as const].flat()).end(body);
    }

    /** Waits for a slot; resolves to false if the queue is full. */
    private async takeSlot(response: ServerResponse): Promise<boolean> {
        const { slots } = this.opts;
        if (this.running >= slots) {
            if (this.waiting.length >= slots * QUEUE_PER_SLOT) {
                return false;
            }
            await new Promise<void>(resolve => this.waiting.push(resolve));
            if (response.destroyed) {
                this.waiting.shift()?.();
            }
        }
        this.running++;
        return true;
    }

    private releaseSlot(): void {
        this.running--;
        this.waiting.shift()?.();
    }
}
