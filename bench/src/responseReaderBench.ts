import { resolve } from "node:path";
import { parseArgs } from "node:util";
import { median } from "./median.js";

/** The part of a `ResponseReader` that is measured. */
interface MeasuredReader {
    read(bytes: Buffer): "reading" | "complete" | "invalid";
    dispose(): void;
}

interface ReaderModule {
    readonly ResponseReader: new(opts: object) => MeasuredReader;
}

/** Bytes of one connection, in the pieces in which it delivers them. */
interface Stream {
    readonly name: string;
    readonly pieces: readonly Buffer[];
}

const MB = 1024 * 1024;
const PIECE_BYTES = 64 * 1024;
/** Bytes of a body in chunks on the wire; more would be given up in chunks of one byte. */
const CHUNKED_BYTES = 96_000;
const MAX_BODY_BYTES = 32 * MB;
const ROUNDS = 5;
const ROUND_MS = 300;
const US_PER_MS = 1_000;
const FORWARDING = "forwarding/src/responseReader.ts";
const matcher = { matchResponse: () => "own" };

/**
 * Measures how fast responses are read, in any pieces. With `--against FOLDER`, the reader of another checkout is measured beside it,
 * and the ratio is printed.
 */
export async function responseReaderBench(args: readonly string[]): Promise<void> {
    const { values } = parseArgs({ args: [...args], options: { against: { type: "string" } } });
    const own = await loadReader(".");
    const other = values.against === undefined ? undefined : await loadReader(values.against);
    for (const stream of streams()) {
        const rates: { own: number[]; other: number[]; } = { own: [], other: [] };
        for (let round = 0; round < ROUNDS; round++) {
            rates.own.push(bytesPerUs(own, stream));
            if (other !== undefined) {
                rates.other.push(bytesPerUs(other, stream));
            }
        }
        const rate = median(rates.own);
        const compared = other === undefined
            ? ""
            : ` against_mb_per_s=${median(rates.other).toFixed(1)} ratio=${(rate / median(rates.other)).toFixed(2)}`;
        process.stdout.write(`stream=${stream.name} mb_per_s=${rate.toFixed(1)}${compared}\n`);
    }
}

async function loadReader(folder: string): Promise<ReaderModule> {
    return await import(resolve(folder, FORWARDING)) as ReaderModule;
}

/** Bytes read in a microsecond, which is MB in a second. */
function bytesPerUs({ ResponseReader }: ReaderModule, { pieces }: Stream): number {
    const streamBytes = pieces.reduce((sum, piece) => sum + piece.length, 0);
    let bytes = 0;
    const startedAt = performance.now();
    let tookMs = 0;
    while (tookMs < ROUND_MS) {
        const reader = new ResponseReader({ requestId: "1", method: "GET", matcher, maxBytes: MAX_BODY_BYTES });
        pieces.forEach(piece => reader.read(piece));
        reader.dispose();
        bytes += streamBytes;
        tookMs = performance.now() - startedAt;
    }
    return bytes / (tookMs * US_PER_MS);
}

function streams(): readonly Stream[] {
    const sized = (size: number) =>
        Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\nContent-Length: ${size}\r\n\r\n`), Buffer.alloc(size, "z")]);
    return [
        { name: "sized_2_kb", pieces: [sized(2 * 1024)] },
        { name: "sized_1_mb", pieces: inPieces(sized(MB)) },
        ...[1, 16, 256, 16 * 1024].map(size => ({ name: `chunks_of_${size}`, pieces: inPieces(chunked(size)) })),
    ];
}

/** A response in chunks of the size. */
function chunked(size: number): Buffer {
    const chunk = `${size.toString(16)}\r\n${"z".repeat(size)}\r\n`;
    const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    return Buffer.from(`${head}${chunk.repeat(Math.ceil(CHUNKED_BYTES / chunk.length))}0\r\n\r\n`);
}

function inPieces(bytes: Buffer): Buffer[] {
    const count = Math.ceil(bytes.length / PIECE_BYTES);
    return Array.from({ length: count }, (_, index) => bytes.subarray(index * PIECE_BYTES, (index + 1) * PIECE_BYTES));
}
