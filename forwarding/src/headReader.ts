import { GrowingBuffer } from "@pistachioreel/runtime";
import { err, ok, type Result } from "neverthrow";
import type { ByteCursor } from "./byteCursor.js";
import { parseResponseHead } from "./parseResponseHead.js";
import type { ResponseFault } from "./responseFault.js";
import type { ResponseHead } from "./responseHead.js";

const HEAD_END = Buffer.from("\r\n\r\n");
const LINE_END_BYTES = 2;
const CARRIAGE_RETURN = 0x0d;
const LINE_FEED = 0x0a;
const MAX_HEAD_BYTES = 80 * 1024;

/** Reads the head of one response, which may arrive in any number of pieces. */
export class HeadReader {
    /** The start of the head, while its end has not arrived. */
    private readonly partial = new GrowingBuffer();

    /**
     * Returns the head once its last line has arrived, `undefined` before.
     *
     * Faults: `line`, `statusLine`, `headerField`, `headSize`, `fieldCount` and `otherResponse`.
     */
    read(input: ByteCursor): Result<ResponseHead | undefined, ResponseFault> {
        const knownBytes = this.partial.size;
        const bytes = knownBytes === 0 ? input.rest : this.join(input.rest);
        const end = bytes.indexOf(HEAD_END, Math.max(0, knownBytes - HEAD_END.length + 1));
        if ((end === -1 ? bytes.length : end) > MAX_HEAD_BYTES) {
            return err("headSize");
        }
        if (end === -1) {
            input.take(bytes.length);
            if (knownBytes === 0) {
                this.partial.append(bytes);
            }
            return hasBareLineFeed(bytes, knownBytes) ? err("line") : ok(undefined);
        }
        input.take(end + HEAD_END.length - knownBytes);
        return parseResponseHead(bytes.toString("latin1", 0, end + LINE_END_BYTES));
    }

    /** Adds a piece, of which more than a head can have is not needed; returns all of the head that has arrived. */
    private join(piece: Buffer): Buffer {
        const neededBytes = MAX_HEAD_BYTES + HEAD_END.length + 1 - this.partial.size;
        this.partial.append(piece, 0, Math.min(piece.length, Math.max(0, neededBytes)));
        return this.partial.bytes;
    }
}

/** Whether a line from the offset on ends with a line feed only, so that no end of the head would ever be found. */
function hasBareLineFeed(bytes: Buffer, offset: number): boolean {
    for (let at = bytes.indexOf(LINE_FEED, offset); at !== -1; at = bytes.indexOf(LINE_FEED, at + 1)) {
        if (bytes[at - 1] !== CARRIAGE_RETURN) {
            return true;
        }
    }
    return false;
}
