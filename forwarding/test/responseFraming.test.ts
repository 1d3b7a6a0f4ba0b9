import fc from "fast-check";
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { headerValue } from "../src/headerValue.js";
import type { ResponseMatcher } from "../src/responseMatcher.js";
import { ResponseReader } from "../src/responseReader.js";

const KB = 1024;
const MAX_BODY_BYTES = 64 * KB;
/** Time for which reading two heads may keep a host busy. */
const MAX_BUSY_MS = 500;
/** Time within which a reader in a process of its own has to read a few hundred bytes, start included. */
const READ_TIMEOUT_MS = 10_000;

const byId: ResponseMatcher = {
    matchResponse: (requestId, _status, headers) => headerValue(headers, "x-id") === requestId ? "own" : "stray",
};
const anyResponse: ResponseMatcher = { matchResponse: () => "own" };

function createReader({ matcher = anyResponse, method = "GET" } = {}): ResponseReader {
    return new ResponseReader({ requestId: "1", method, matcher, maxBytes: MAX_BODY_BYTES });
}

/** Reads the bytes in pieces that end at the given offsets, then the end of the connection. */
function readAll(reader: ResponseReader, bytes: Buffer, cuts: readonly number[] = []): ResponseReader {
    let start = 0;
    for (const cut of [...cuts, bytes.length].toSorted((a, b) => a - b)) {
        reader.read(bytes.subarray(start, cut));
        start = Math.max(start, cut);
    }
    reader.finish();
    return reader;
}

function outcomeOf(reader: ResponseReader): string {
    return reader.fault ?? reader.response.body.toString("latin1");
}

function latin1(text: string): Buffer {
    return Buffer.from(text, "latin1");
}

const OK = "HTTP/1.1 200 OK\r\n";
const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n`;

describe("framing of responses", () => {
    const malformed: Readonly<Record<string, string>> = {
        "a length with a sign": `${OK}Content-Length: +5\r\n\r\nwhole`,
        "a length that is no number": `${OK}Content-Length: q5\r\n\r\nwhole`,
        "a length in hexadecimal": `${OK}Content-Length: 0x5\r\n\r\nwhole`,
        "a length with an exponent": `${OK}Content-Length: 5e0\r\n\r\nwhole`,
        "an empty length": `${OK}Content-Length:\r\n\r\nwhole`,
        "a length beyond exact numbers": `${OK}Content-Length: 99999999999999999999\r\n\r\nwhole`,
        "two lengths": `${OK}Content-Length: 5\r\nContent-Length: 4\r\n\r\nwhole`,
        "the same length twice": `${OK}Content-Length: 5\r\ncontent-length: 5\r\n\r\nwhole`,
        "a list of lengths": `${OK}Content-Length: 5, 5\r\n\r\nwhole`,
        "a length and chunks": `${OK}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n`,
        "another transfer encoding": `${OK}Transfer-Encoding: gzip\r\n\r\nwhole`,
        "chunks that are not last": `${OK}Transfer-Encoding: chunked, gzip\r\n\r\n5\r\nwhole\r\n0\r\n\r\n`,
        "a doubled transfer encoding": `${CHUNKED.slice(0, -2)}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
        "chunks in HTTP/1.0": "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
        "a chunk size that is no number": `${CHUNKED}5\r\nwhole\r\nq67\r\nmore\r\n0\r\n\r\n`,
        "a chunk size that ends in no digit": `${CHUNKED}5q\r\nwhole\r\n0\r\n\r\n`,
        "a chunk size with a sign": `${CHUNKED}-5\r\nwhole\r\n0\r\n\r\n`,
        "a chunk size with a prefix": `${CHUNKED}0x5\r\nwhole\r\n0\r\n\r\n`,
        "an empty chunk size": `${CHUNKED}\r\n5\r\nwhole\r\n0\r\n\r\n`,
        "a chunk size of many digits": `${CHUNKED}${"0".repeat(9)}5\r\nwhole\r\n0\r\n\r\n`,
        "a control character after a chunk size": `${CHUNKED}5;a\x01\r\nwhole\r\n0\r\n\r\n`,
        "a chunk longer than its size": `${CHUNKED}4\r\nwhole\r\n0\r\n\r\n`,
        "a chunk shorter than its size": `${CHUNKED}6\r\nwhole\r\n0\r\n\r\n`,
        "a trailer that is no header": `${CHUNKED}5\r\nwhole\r\n0\r\nnone\r\n\r\n`,
        "no version": "200 OK\r\n\r\nwhole",
        "another version": "HTTP/2.0 200 OK\r\n\r\nwhole",
        "a status of four digits": "HTTP/1.1 2000 OK\r\n\r\nwhole",
        "the status 000": `HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole`,
        "the status 000 without a length": "HTTP/1.1 000 \r\n\r\nwhole",
        "the status 000 before another response": `HTTP/1.1 000 OK\r\n\r\n${OK}Content-Length: 5\r\n\r\nwhole`,
        "a status below 100": "HTTP/1.1 099 OK\r\n\r\nwhole",
        "a status above 599": "HTTP/1.1 600 OK\r\n\r\nwhole",
        "a status without a space": "HTTP/1.1 200\r\n\r\nwhole",
        "a control character in the status line": "HTTP/1.1 200 O\x01K\r\n\r\nwhole",
        "an empty line before the status line": `\r\n${OK}\r\nwhole`,
        "line feeds without carriage returns": "HTTP/1.1 200 OK\n\nwhole",
        "a carriage return within a line": `${OK}X-A: a\rb\r\n\r\nwhole`,
        "a control character in a header": `${OK}X-A: a\x00b\r\n\r\nwhole`,
        "DEL in a header": `${OK}X-A: a\x7fb\r\n\r\nwhole`,
        "a header without a colon": `${OK}none\r\n\r\nwhole`,
        "a header without a name": `${OK}: a\r\n\r\nwhole`,
        "a space in a name": `${OK}X A: a\r\nContent-Length: 5\r\n\r\nwhole`,
        "a space in the name of the length": `${OK}Content- Length: 3\r\n\r\nwhole`,
        "a tab in a name": `${OK}X\tA: a\r\nContent-Length: 5\r\n\r\nwhole`,
        "a control character in a name": `${OK}X\x01A: a\r\nContent-Length: 5\r\n\r\nwhole`,
        "a control character in the name of the length": `${OK}Content\x00-Length: 3\r\n\r\nwhole`,
        "DEL in a name": `${OK}X\x7fA: a\r\nContent-Length: 5\r\n\r\nwhole`,
        "a control character in the name of a trailer": `${CHUNKED}5\r\nwhole\r\n0\r\nX\x01A: a\r\n\r\n`,
        "a space before the colon": `${OK}Content-Length : 5\r\n\r\nwhole`,
        "a continued header": `${OK}X-A: a\r\n b\r\n\r\nwhole`,
        "a change of the protocol": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
        "a malformed interim response":
            `HTTP/1.1 100 Continue\r\nContent-Length: -1\r\n\r\n${OK}Content-Length: 0\r\n\r\n`,
    };
    for (const [name, text] of Object.entries(malformed)) {
        it(`is refused with ${name}, which could hide that a body is not the target's`, () => {
            const whole = readAll(createReader(), latin1(text));
            assert.notEqual(whole.fault, undefined, `complete with "${whole.response.body}"`);
            const cuts = Array.from(text, (_, index) => index);
            assert.equal(readAll(createReader(), latin1(text), cuts).fault, whole.fault, "byte by byte");
        });
    }

    const sound: Readonly<Record<string, string>> = {
        "a length": `${OK}Content-Length: 5\r\n\r\nwhole`,
        "a length with zeros and white space": `${OK}Content-Length: \t005 \r\n\r\nwhole`,
        "chunks": `${CHUNKED}2\r\nwh\r\n003\r\nole\r\n0\r\n\r\n`,
        "extensions of chunks and trailers": `${CHUNKED}5 ;a=b;c\r\nwhole\r\n0;d\r\nX-T: v\r\n\r\n`,
        "an encoding in capitals": `${OK}TRANSFER-ENCODING: Chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n`,
        "neither length nor chunks": `${OK}\r\nwhole`,
        "HTTP/1.0": "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "an empty reason": "HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nwhole",
        "interim responses":
            `HTTP/1.1 103 Early\r\nX-A: 1\r\n\r\nHTTP/1.1 100 \r\n\r\n${OK}Content-Length: 5\r\n\r\nwhole`,
        "bytes beyond ASCII": `${OK}X-Name: \xe1\x83\xa1\r\nContent-Length: 5\r\n\r\nwhole`,
    };
    for (const [name, text] of Object.entries(sound)) {
        it(`is accepted with ${name}, cut at any byte`, () => {
            const bytes = latin1(text);
            for (let cut = 0; cut < bytes.length; cut++) {
                assert.equal(outcomeOf(readAll(createReader(), bytes, [cut])), "whole", `cut at ${cut}`);
            }
        });
    }

    it("ends with the head where a response has no body, whatever length the head states", () => {
        const head = `${OK}Content-Length: 5\r\n\r\n`;
        assert.equal(outcomeOf(readAll(createReader({ method: "HEAD" }), latin1(head))), "");
        const notModified = "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n";
        assert.equal(outcomeOf(readAll(createReader(), latin1(notModified))), "");
    });

    it("keeps bytes beyond ASCII in headers, which were turned into control characters", () => {
        const reader = readAll(createReader(), latin1(sound["bytes beyond ASCII"] ?? ""));
        assert.equal(headerValue(reader.response.headers, "x-name"), "\xe1\x83\xa1");
    });

    for (const end of ["b\r\n\r\n", "\x01\r\n\r\n", "\r\n\r\n"]) {
        it(`is read at once with many spaces before ${JSON.stringify(end)}, which kept a host busy for seconds`, () => {
            const startedAt = performance.now();
            createReader().read(latin1(`${OK}X-A: a${" ".repeat(79 * KB)}${end}`));
            createReader().read(latin1(`${OK}X-A: ${" ".repeat(79 * KB)}${end}`));
            const tookMs = performance.now() - startedAt;
            assert.ok(tookMs < MAX_BUSY_MS, `${Math.round(tookMs)} ms`);
        });
    }

    it("with a negative length does not keep a host busy for good, which stopped whole hosts", () => {
        // A read without an end could not be interrupted within this process.
        const program = `
            import { ResponseReader } from ${JSON.stringify(new URL("../src/responseReader.ts", import.meta.url).href)};
            const matcher = { matchResponse: () => "own" };
            const reader = new ResponseReader({ requestId: "1", method: "GET", matcher, maxBytes: 1_000_000 });
            console.log(reader.read(Buffer.from("HTTP/1.1 200 OK\\r\\nContent-Length: -742\\r\\n\\r\\n" + "a".repeat(1742))));
        `;
        const { stdout, signal } = spawnSync(
            process.execPath,
            ["--import", "tsx", "--input-type=module", "--eval", program],
            { timeout: READ_TIMEOUT_MS, killSignal: "SIGKILL", encoding: "utf8", cwd: repositoryRoot() },
        );
        assert.equal(signal, null, "it did not end");
        assert.equal(stdout.trim(), "invalid");
    });

    it("takes a sound response for what it is after any messages before it, cut anywhere", () => {
        fc.assert(fc.property(streams(), ({ bytes, body, cuts }) => {
            const reader = createReader({ matcher: byId });
            readAll(reader, bytes, cuts);
            assert.equal(reader.fault, undefined);
            assert.deepEqual(reader.response.body, body);
        }));
    });

    it("never takes a response that ends early for a complete one", () => {
        fc.assert(fc.property(streams(), fc.nat(), ({ bytes, cuts }, length) => {
            const cut = bytes.subarray(0, length % bytes.length);
            assert.equal(
                readAll(createReader({ matcher: byId }), cut, cuts.filter(at => at < cut.length)).fault,
                "truncated",
            );
        }));
    });

    it("always ends with random bytes in place of some of a stream's", () => {
        fc.assert(fc.property(streams(), fc.array(fc.tuple(fc.nat(), fc.nat(255))), ({ bytes, cuts }, changes) => {
            const changed = Buffer.from(bytes);
            changes.forEach(([index, value]) => changed[index % changed.length] = value);
            const reader = readAll(createReader({ matcher: byId }), changed, cuts);
            assert.ok(reader.fault !== undefined || reader.response.body.length <= bytes.length);
        }));
    });
});

interface Stream {
    readonly bytes: Buffer;
    /** Body of the request's own response, which is the last one. */
    readonly body: Buffer;
    readonly cuts: readonly number[];
}

/** Interim responses and responses to other requests, followed by the request's own response. */
function streams(): fc.Arbitrary<Stream> {
    const bodies = fc.uint8Array({ maxLength: 300 }).map(bytes => Buffer.from(bytes));
    const strays = bodies.chain(body => framed("other", body));
    const interims = fc.constantFrom("100 Continue", "103 Early Hints")
        .map(status => latin1(`HTTP/1.1 ${status}\r\nLink: a\r\n\r\n`));
    const before = fc.array(fc.oneof(strays, interims), { maxLength: 4 });
    return bodies.chain(body =>
        fc.record({ before, own: framed("1", body), cuts: fc.array(fc.nat(2_000), { maxLength: 20 }) })
            .map(({ before: earlier, own, cuts }) => {
                const bytes = Buffer.concat([...earlier, own]);
                return { bytes, body, cuts: cuts.map(cut => cut % bytes.length) };
            })
    );
}

/** The body in a response with a length or in chunks of random sizes. */
function framed(id: string, body: Buffer): fc.Arbitrary<Buffer> {
    const sized = Buffer.concat([latin1(`${OK}X-Id: ${id}\r\nContent-Length: ${body.length}\r\n\r\n`), body]);
    const chunked = fc.integer({ min: 1, max: 100 }).map(size => {
        const parts = [latin1(`${OK}X-Id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n`)];
        for (let start = 0; start < body.length; start += size) {
            const chunk = body.subarray(start, start + size);
            parts.push(latin1(`${chunk.length.toString(16)};n=v\r\n`), chunk, latin1("\r\n"));
        }
        parts.push(latin1("0\r\nX-Sum: 1\r\n\r\n"));
        return Buffer.concat(parts);
    });
    return fc.oneof(fc.constant(sized), chunked);
}

function repositoryRoot(): string {
    return fileURLToPath(new URL("../..", import.meta.url));
}
