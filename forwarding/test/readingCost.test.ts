import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ResponseReader } from "../src/responseReader.js";

const PIECE_BYTES = 4 * 1024;
const ROUND_BYTES = 768 * 1024;
const ROUNDS = 7;
/** Bytes of any form cost at most as much processor time as the same number of bytes of small responses. */
const MAX_COST_RATIO = 1;
/** A byte of a long head costs at most this many times that of a short one. */
const MAX_GROWTH = 1.5;
const CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const SMALL_RESPONSE = [
    "HTTP/1.1 200 OK",
    "X-Request-Id: 5f1c0f3ebc5cf55a",
    "Content-Type: application/json",
    "Date: Sat, 05 Dec 2026 12:00:00 GMT",
    "Connection: keep-alive",
    "Keep-Alive: timeout=5",
    "Content-Length: 14",
    "",
    '{"saved":true}',
].join("\r\n");

function createReader(): ResponseReader {
    const matcher = { matchResponse: () => "own" as const };
    return new ResponseReader({ requestId: "1", method: "GET", matcher, maxBytes: 32 * 1024 * 1024 });
}

/** Processor time of this process in the call, in µs. */
function processorTimeUs(run: () => void): number {
    const before = process.cpuUsage();
    run();
    const { user, system } = process.cpuUsage(before);
    return user + system;
}

/** Reads a head and then repetitions, and starts with the head again whenever a response has been given up. */
function readRepeated(head: string, repeated: string): void {
    const piece = Buffer.from(repeated.repeat(Math.ceil(PIECE_BYTES / repeated.length)));
    let reader: ResponseReader | undefined;
    for (let bytes = 0; bytes < ROUND_BYTES; bytes += piece.length) {
        if (reader === undefined) {
            reader = createReader();
            reader.read(Buffer.from(head));
        }
        if (reader.read(piece) === "invalid") {
            reader = undefined;
        }
    }
}

function readSmallResponses(): void {
    const response = Buffer.from(SMALL_RESPONSE);
    for (let bytes = 0; bytes < ROUND_BYTES; bytes += response.length) {
        createReader().read(response);
    }
}

describe("processor time of reading responses", () => {
    const forms = {
        "chunks of one byte": [CHUNKED_HEAD, "1\r\nz\r\n"],
        "chunks of one byte with an extension": [CHUNKED_HEAD, "1;a=b\r\nz\r\n"],
        "chunks of 16 bytes": [CHUNKED_HEAD, `10\r\n${"z".repeat(16)}\r\n`],
        "a chunk's extension": [`${CHUNKED_HEAD}1;`, "z"],
        "interim responses": ["", "HTTP/1.1 100 Continue\r\n\r\n"],
        "trailers": [`${CHUNKED_HEAD}0\r\n`, "X-T: v\r\n"],
        "a header without an end": ["HTTP/1.1 200 OK\r\nX: ", "z"],
    } as const;
    for (const [name, [head, repeated]] of Object.entries(forms)) {
        it(`is bounded for ${name}, which left a host no time for the requests of others`, () => {
            const ratios = Array.from({ length: ROUNDS }, () => {
                const usual = processorTimeUs(readSmallResponses);
                return processorTimeUs(() => readRepeated(head, repeated)) / usual;
            });
            const ratio = ratios.toSorted((a, b) => a - b)[Math.floor(ROUNDS / 2)]!;
            assert.ok(ratio <= MAX_COST_RATIO, `${ratio.toFixed(1)} times the cost of small responses`);
        });
    }

    it("grows with the length of a head that arrives byte by byte, and not with its square", () => {
        const perByteUs = (bytes: number) => {
            const pieces = Array.from(
                Buffer.from(`HTTP/1.1 200 OK\r\nX: ${"z".repeat(bytes)}`),
                byte => Buffer.from([byte]),
            );
            const times = Array.from({ length: ROUNDS }, () =>
                processorTimeUs(() => {
                    const reader = createReader();
                    pieces.forEach(piece => reader.read(piece));
                }));
            return Math.min(...times) / bytes;
        };
        const ratio = perByteUs(78 * 1024) / perByteUs(13 * 1024);
        assert.ok(ratio <= MAX_GROWTH, `a byte of a head six times as long took ${ratio.toFixed(1)} times as long`);
    });
});
