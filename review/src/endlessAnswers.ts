import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { RecordFile } from "./recordFile.js";
import type { RunRequest } from "./reviewServer.js";

interface EndlessAnswersOptions {
    /** Servers in trouble, by id. */
    readonly servers: ReadonlySet<string>;
    /** Share of their answers that have no end. */
    readonly share: number;
    /** Bytes that are sent as fast as they are read; the others follow slowly. */
    readonly fastBytes: number;
    readonly record: RecordFile;
}

/** One chunk of a body that holds one byte. */
const CHUNK = "1\nz\n";
const CHUNKS_PER_WRITE = 16 * 1024;
const SLOW_INTERVAL_MS = 200;

/** Answers of some servers consist, for some time, of chunks of one byte without an end, until the caller closes. */
export class EndlessAnswers {
    readonly ids = new Set<string>();
    private endsAt = -Infinity;

    constructor(private readonly opts: EndlessAnswersOptions) {}

    start(durationMs: number): void {
        this.endsAt = performance.now() + durationMs;
    }

    readonly interfere = (
        request: RunRequest,
        response: ServerResponse,
        { head }: { head: readonly (readonly [string, string])[]; },
    ): boolean => {
        const { servers, share, record } = this.opts;
        if (performance.now() >= this.endsAt || !servers.has(request.server) || Math.random() >= share) {
            return false;
        }
        this.ids.add(request.id);
        record.add("endless", { id: request.id, server: request.server });
        void this.send(response, head);
        return true;
    };

    private async send(response: ServerResponse, head: readonly (readonly [string, string])[]): Promise<void> {
        const { socket } = response;
        if (socket === null) {
            return;
        }
        const lines = [
            "HTTP/1.1 200 OK",
            ...head.map(([name, value]) => `${name}: ${value}`),
            "Transfer-Encoding: chunked",
        ];
        socket.write(`${lines.join("\r\n")}\r\n\r\n`);
        const chunks = Buffer.from(CHUNK.repeat(CHUNKS_PER_WRITE));
        for (let sent = 0; !socket.destroyed && sent + chunks.length <= this.opts.fastBytes; sent += chunks.length) {
            if (!socket.write(chunks)) {
                await Promise.race([
                    new Promise(resolve => socket.once("drain", resolve)),
                    new Promise(resolve => socket.once("close", resolve)),
                ]);
            }
        }
        while (!socket.destroyed) {
            socket.write(CHUNK);
            await sleep(SLOW_INTERVAL_MS);
        }
    }
}
