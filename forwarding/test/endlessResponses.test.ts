import { SharedMemory } from "@pistachioreel/runtime";
import { liveBytes } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ResponseMemory } from "../src/responseMemory.js";
import { ResponseReader } from "../src/responseReader.js";

const MB = 1024 * 1024;
const CHUNK_BYTES = 64 * 1024;
const MAX_BODY_BYTES = 32 * MB;
/** Bytes that a reader may take in before it gives up on what is no response. */
const MAX_READ_BYTES = 2 * MB;
/** Bytes that a reader may take in before it gives up on chunks of one byte. */
const MAX_SMALL_CHUNK_BYTES = 256 * 1024;
const CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

function createMemory(maxBytes: number): ResponseMemory {
    return new ResponseMemory(new SharedMemory({ maxBytes }));
}

function createReader({ kind = "own" as "own" | "stray", memory = createMemory(64 * MB), target = "t-1" } = {}) {
    const matcher = { matchResponse: () => kind };
    return new ResponseReader({
        requestId: "1",
        method: "GET",
        matcher,
        maxBytes: MAX_BODY_BYTES,
        memory: memory.shareOf(target),
    });
}

/** Sends a head and then the same bytes again and again. Returns the bytes read until the reader gave up. */
function bytesUntilInvalid(reader: ResponseReader, head: string, repeated: string, limit = 4 * MAX_BODY_BYTES): number {
    const chunk = Buffer.from(repeated.repeat(Math.ceil(CHUNK_BYTES / repeated.length)));
    let state = reader.read(Buffer.from(head));
    let bytes = 0;
    while (state === "reading" && bytes < limit) {
        state = reader.read(chunk);
        bytes += chunk.length;
    }
    assert.equal(state, "invalid");
    return bytes;
}

function fullResponse(length: number): Buffer {
    return Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\nContent-Length: ${length}\r\n\r\n`), Buffer.alloc(length)]);
}

describe("responses without an end", () => {
    const cases = {
        "a header line": ["HTTP/1.1 200 OK\r\nX: ", "a"],
        "header lines": ["HTTP/1.1 200 OK\r\n", "X-A: b\r\n"],
        "bytes that are no response": ["", "z"],
        "empty lines": ["", "\r\n"],
        "interim responses": ["", "HTTP/1.1 100 Continue\r\n\r\n"],
        "the extension of a chunk": [`${CHUNKED_HEAD}5;`, "e"],
        "trailers": [`${CHUNKED_HEAD}0\r\n`, "X-T: v\r\n"],
        "chunks of one byte": [CHUNKED_HEAD, "1\r\na\r\n"],
    } as const;
    for (const [name, [head, repeated]] of Object.entries(cases)) {
        it(`are given up early that consist of ${name}, which would use up memory and processor time`, () => {
            const bytes = bytesUntilInvalid(createReader(), head, repeated);
            assert.ok(bytes <= MAX_READ_BYTES, `${bytes} bytes`);
        });
    }

    it("are given up early in chunks of one byte, which took much processor time for few bytes", () => {
        const bytes = bytesUntilInvalid(createReader(), CHUNKED_HEAD, "1\r\na\r\n");
        assert.ok(bytes <= MAX_SMALL_CHUNK_BYTES, `${bytes} bytes`);
    });

    for (const [size, count] of [[1, 16_000], [5, 100_000], [16, 60_000]] as const) {
        it(`are told apart from sound ones that flush ${count} pieces of ${size} bytes`, () => {
            const reader = createReader();
            reader.read(Buffer.from(CHUNKED_HEAD));
            reader.read(Buffer.from(`${size.toString(16)}\r\n${"a".repeat(size)}\r\n`.repeat(count)));
            assert.equal(reader.read(Buffer.from("0\r\n\r\n")), "complete", reader.fault);
            assert.equal(reader.response.body.length, size * count);
        });
    }

    it("are given up early if they answer another request", () => {
        const head = "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n";
        assert.ok(bytesUntilInvalid(createReader({ kind: "stray" }), head, "b") <= MAX_READ_BYTES);
    });

    it("in small chunks take no more memory than bytes have arrived, which ended whole processes", async () => {
        const chunk = Buffer.from("5\r\nabcde\r\n".repeat(CHUNK_BYTES / 10));
        const before = await liveBytes();
        const readers = Array.from({ length: 10 }, () => createReader());
        let arrivedBytes = 0;
        for (const reader of readers) {
            reader.read(Buffer.from(CHUNKED_HEAD));
            for (let round = 0; round < 15; round++) {
                assert.equal(reader.read(Buffer.from(chunk)), "reading");
                arrivedBytes += chunk.length;
            }
        }
        const added = await liveBytes() - before;
        assert.ok(added <= arrivedBytes, `${added} bytes of memory for ${arrivedBytes} bytes`);
        readers.forEach(reader => reader.dispose());
    });

    it("count with the memory that they take, and give it back", () => {
        const memory = createMemory(8 * MB);
        const reader = createReader({ memory });
        reader.read(Buffer.from(CHUNKED_HEAD));
        const sizes = Array.from({ length: 64 }, () => "10000\r\n");
        sizes.forEach(size =>
            reader.read(Buffer.concat([Buffer.from(size), Buffer.alloc(64 * 1024), Buffer.from("\r\n")]))
        );
        assert.equal(createReader({ memory }).read(fullResponse(5 * MB)), "invalid");
        reader.dispose();
        assert.equal(createReader({ memory }).read(fullResponse(5 * MB)), "complete");
    });

    it("share a limit of memory, which leaves room for usual responses and is free again afterwards", () => {
        const memory = createMemory(8 * MB);
        const head = "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n";
        const endless = Array.from({ length: 4 }, () => createReader({ memory }));
        const read = endless.reduce((sum, reader) => sum + bytesUntilInvalid(reader, head, "b"), 0);
        assert.ok(read <= 8 * MB + 4 * 0.5 * MB, `${read} bytes`);
        const usual = createReader({ memory });
        assert.equal(usual.read(Buffer.from(`HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole`)), "complete");
        endless.forEach(reader => reader.dispose());
        const large = createReader({ memory });
        large.read(Buffer.from(`HTTP/1.1 200 OK\r\nContent-Length: ${4 * MB}\r\n\r\n`));
        assert.equal(large.read(Buffer.alloc(4 * MB)), "complete");
    });

    it("of one target leave memory for large responses of others", () => {
        const memory = createMemory(8 * MB);
        const head = "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n";
        const endless = Array.from({ length: 4 }, () => createReader({ memory, target: "faulty" }));
        endless.forEach(reader => bytesUntilInvalid(reader, head, "b"));
        assert.equal(createReader({ memory, target: "sound" }).read(fullResponse(2 * MB)), "complete");
    });
});
