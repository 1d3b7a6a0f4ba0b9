import { err, ok, type Result } from "neverthrow";
import type { ByteCursor } from "./byteCursor.js";
import type { ResponseFault } from "./responseFault.js";

const CARRIAGE_RETURN = 0x0d;
const LINE_FEED = 0x0a;
const LINE_END_BYTES = 2;
const INITIAL_CAPACITY_BYTES = 256;

/** Reads lines that end with CR and LF and may arrive in any number of pieces. */
export class LineReader {
    /** The start of a line whose end has not arrived. */
    private partial = Buffer.alloc(0);
    private partialLength = 0;

    /** @param maxBytes Longest line, including its end. */
    constructor(private readonly maxBytes: number) {}

    /**
     * Returns the next line as Latin-1 text without its end, or `undefined` if the rest of it has not arrived.
     *
     * Faults: `line`.
     */
    read(input: ByteCursor): Result<string | undefined, ResponseFault> {
        const piece = input.takeLine();
        if (this.partialLength + piece.length > this.maxBytes) {
            return err("line");
        }
        if (piece.at(-1) !== LINE_FEED) {
            this.append(piece);
            return ok(undefined);
        }
        const line = this.partialLength === 0 ? piece : this.join(piece);
        return line.at(-LINE_END_BYTES) === CARRIAGE_RETURN
            ? ok(line.toString("latin1", 0, line.length - LINE_END_BYTES))
            : err("line");
    }

    private join(piece: Buffer): Buffer {
        this.append(piece);
        const line = this.partial.subarray(0, this.partialLength);
        this.partialLength = 0;
        return line;
    }

    private append(piece: Buffer): void {
        const length = this.partialLength + piece.length;
        if (length > this.partial.length) {
            const grown = Buffer.alloc(Math.max(INITIAL_CAPACITY_BYTES, 2 * length));
            this.partial.copy(grown, 0, 0, this.partialLength);
            this.partial = grown;
        }
        piece.copy(this.partial, this.partialLength);
        this.partialLength = length;
    }
}
