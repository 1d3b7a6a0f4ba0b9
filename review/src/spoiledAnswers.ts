import type { ServerResponse } from "node:http";
import type { RecordFile } from "./recordFile.js";
import type { RunRequest } from "./reviewServer.js";

interface SpoiledAnswersOptions {
    /** Servers that spoil answers, by id. */
    readonly servers: ReadonlySet<string>;
    /** Share of the answers that they spoil. */
    readonly share: number;
    /** Whose first digit another byte replaces: the length of the body, or the size of the second of two chunks. */
    readonly place: "length" | "chunkSize";
    /** Byte that takes the place of the digit. */
    readonly byte: string;
    readonly record: RecordFile;
}

interface SoundAnswer {
    readonly head: readonly (readonly [name: string, value: string])[];
    readonly body: Buffer;
}

const HEXADECIMAL = 16;

/** Spoils answers of some servers, for some time: one byte is another one. All other bytes are sent as they are. */
export class SpoiledAnswers {
    readonly ids = new Set<string>();
    private endsAt = -Infinity;

    constructor(private readonly opts: SpoiledAnswersOptions) {}

    start(durationMs: number): void {
        this.endsAt = performance.now() + durationMs;
    }

    /** Sends the answer, spoiled or not, if it has chunks; an answer with a length only if it is spoiled. */
    readonly interfere = (request: RunRequest, response: ServerResponse, sound: SoundAnswer): boolean => {
        const { servers, share, place, record } = this.opts;
        const isSpoiled = performance.now() < this.endsAt && servers.has(request.server) && Math.random() < share;
        if (isSpoiled) {
            this.ids.add(request.id);
            record.add("spoiled", { id: request.id, server: request.server });
        }
        if (place === "chunkSize") {
            this.sendChunks(response, sound, isSpoiled);
        }
        else if (isSpoiled) {
            const length = this.spoil(String(sound.body.length));
            response.writeHead(200, [...sound.head, ["Content-Length", length] as const].flat()).end(sound.body);
        }
        return isSpoiled || place === "chunkSize";
    };

    /** Sends the body in two chunks and closes the channel, as the answer is not written by the HTTP library. */
    private sendChunks({ socket }: ServerResponse, { head, body }: SoundAnswer, isSpoiled: boolean): void {
        const lines = head.map(([name, value]) => `${name}: ${value}\r\n`).join("");
        const half = body.length / 2;
        const size = half.toString(HEXADECIMAL);
        socket?.end(Buffer.concat([
            Buffer.from(
                `HTTP/1.1 200 OK\r\n${lines}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n${size}\r\n`,
            ),
            body.subarray(0, half),
            Buffer.from(`\r\n${isSpoiled ? this.spoil(size) : size}\r\n`),
            body.subarray(half),
            Buffer.from("\r\n0\r\n\r\n"),
        ]));
    }

    private spoil(digits: string): string {
        return `${this.opts.byte}${digits.slice(1)}`;
    }
}
