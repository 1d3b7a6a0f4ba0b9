const LINE_FEED = 0x0a;

/** Position in the bytes that a connection has delivered at once. */
export class ByteCursor {
    private offset = 0;

    constructor(private readonly bytes: Buffer) {}

    get isAtEnd(): boolean {
        return this.offset >= this.bytes.length;
    }

    /** The bytes that have not been taken. */
    get rest(): Buffer {
        return this.offset === 0 ? this.bytes : this.bytes.subarray(this.offset);
    }

    /** Takes the next bytes, at most `maxBytes` of them. */
    take(maxBytes: number): Buffer {
        const taken = this.bytes.subarray(this.offset, this.offset + maxBytes);
        this.offset += taken.length;
        return taken;
    }

    /** Takes the bytes up to the next line feed, which is included, or all that are left. */
    takeLine(): Buffer {
        const lineFeed = this.bytes.indexOf(LINE_FEED, this.offset);
        return this.take(lineFeed === -1 ? Infinity : lineFeed + 1 - this.offset);
    }
}
