import type { ServerResponse } from "node:http";
import type { RecordFile } from "./recordFile.js";
import type { RunRequest } from "./reviewServer.js";

interface SpoiledAnswersOptions {
    /** Servers that spoil answers, by id. */
    readonly servers: ReadonlySet<string>;
    /** Share of the answers that they spoil. */
    readonly share: number;
    /** Byte that takes the place of the first digit of the length. */
    readonly byte: string;
    readonly record: RecordFile;
}

/** Spoils answers of some servers, for some time: one byte of the head is another one. All other bytes are sent as they are. */
export class SpoiledAnswers {
    readonly ids = new Set<string>();
    private endsAt = -Infinity;

    constructor(private readonly opts: SpoiledAnswersOptions) {}

    start(durationMs: number): void {
        this.endsAt = performance.now() + durationMs;
    }

    readonly interfere = (
        request: RunRequest,
        response: ServerResponse,
        { head, body }: { head: readonly (readonly [string, string])[]; body: Buffer; },
    ): boolean => {
        const { servers, share, byte, record } = this.opts;
        if (performance.now() >= this.endsAt || !servers.has(request.server) || Math.random() >= share) {
            return false;
        }
        this.ids.add(request.id);
        record.add("spoiled", { id: request.id, server: request.server });
        const length = `${byte}${String(body.length).slice(1)}`;
        response.writeHead(200, [...head, ["Content-Length", length] as const].flat()).end(body);
        return true;
    };
}
