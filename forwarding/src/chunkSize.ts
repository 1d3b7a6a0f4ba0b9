import type { ByteCursor } from "./byteCursor.js";
import type { ResponseFault } from "./responseFault.js";

const TAB = 0x09;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const SPACE = 0x20;
const SEMICOLON = 0x3b;
const DELETE = 0x7f;
const MAX_DIGITS = 8;
const MAX_LINE_BYTES = 16 * 1024;
const NO_DIGIT = -1;
/** Value of each byte as a hexadecimal digit. */
const DIGIT_VALUES = Int8Array.from({ length: 256 }, (_, byte) => digitValue(String.fromCharCode(byte)));

/** Part of the line that the next byte belongs to. */
type Part = "digits" | "spaces" | "extension" | "lineFeed" | "complete";

/**
 * Reads the line that states the size of a chunk (RFC 9112, section 7.1), byte by byte where it lies, as a body can have
 * millions of them. Extensions are ignored.
 */
export class ChunkSize {
    /** Size in bytes; valid only once the line is complete. */
    value = 0;
    private part: Part = "digits";
    private digits = 0;
    private bytes = 0;

    get isComplete(): boolean {
        return this.part === "complete";
    }

    /** Starts with the next line. */
    reset(): void {
        this.value = 0;
        this.part = "digits";
        this.digits = 0;
        this.bytes = 0;
    }

    /**
     * Takes bytes up to the end of the line.
     *
     * Faults: `line` and `chunkSize`.
     */
    read(input: ByteCursor): ResponseFault | undefined {
        const { bytes } = input;
        let fault: ResponseFault | undefined;
        while (fault === undefined && this.part !== "complete" && input.offset < bytes.length) {
            fault = this.take(bytes[input.offset++]!);
        }
        return fault;
    }

    private take(byte: number): ResponseFault | undefined {
        if (++this.bytes > MAX_LINE_BYTES) {
            return "line";
        }
        if (this.part === "lineFeed") {
            this.part = "complete";
            return byte === LINE_FEED ? undefined : "line";
        }
        const digit = this.part === "digits" ? DIGIT_VALUES[byte]! : NO_DIGIT;
        if (digit !== NO_DIGIT) {
            this.value = this.value * 16 + digit;
            return ++this.digits > MAX_DIGITS ? "chunkSize" : undefined;
        }
        if (byte === CARRIAGE_RETURN) {
            const hasSize = this.digits > 0 && this.part !== "spaces";
            this.part = "lineFeed";
            return hasSize ? undefined : "chunkSize";
        }
        return byte === LINE_FEED ? "line" : this.takeAfterDigits(byte);
    }

    private takeAfterDigits(byte: number): ResponseFault | undefined {
        if (this.part === "extension") {
            return byte === TAB || (byte >= SPACE && byte !== DELETE) ? undefined : "chunkSize";
        }
        this.part = byte === SEMICOLON ? "extension" : "spaces";
        const isAllowed = byte === SEMICOLON || byte === SPACE || byte === TAB;
        return isAllowed && this.digits > 0 ? undefined : "chunkSize";
    }
}

function digitValue(character: string): number {
    return /[0-9A-Fa-f]/.test(character) ? Number.parseInt(character, 16) : NO_DIGIT;
}
