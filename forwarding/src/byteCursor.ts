const LINE_FEED = 0x0a;

/** Position in the bytes that a connection has delivered at once. */
export class ByteCursor {
    /** Number of bytes that have been taken. */
    offset = 0;

    constructor(readonly bytes: Buffer) {}

    get isAtEnd(): boolean {
        return this.offset >= this.bytes.length;
    }

    /** The bytes that have not been taken. */
    get rest(): Buffer {
        return this.offset === 0 ? this.bytes : this.bytes.subarray(this.offset);
    }

    /** Takes the next bytes, at most `maxBytes` of them; returns their number. */
    skip(maxBytes: number): number {
        const skipped = Math.min(maxBytes, this.bytes.length - this.offset);
        this.offset += skipped;
        return skipped;
    }

    /** Takes the next bytes, at most `maxBytes` of them. */
    take(maxBytes: number): Buffer {
        const start = this.offset;
        return this.bytes.subarray(start, start + this.skip(maxBytes));
    }

    /** Takes the bytes up to the next line feed, which is included, or all that are left. */
    takeLine(): Buffer {
        const lineFeed = this.bytes.indexOf(LINE_FEED, this.offset);
        return this.take(lineFeed === -1 ? Infinity : lineFeed + 1 - this.offset);
    }
}
