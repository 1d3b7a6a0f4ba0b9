import type { BodyDecoder } from "./bodyDecoder.js";
import type { ByteCursor } from "./byteCursor.js";
import type { ContentSink } from "./contentSink.js";
import type { ResponseFault } from "./responseFault.js";

/** A body whose length in bytes is known. */
export class SizedBody implements BodyDecoder {
    readonly endsWithConnection = false;

    constructor(private missingBytes: number) {}

    get isComplete(): boolean {
        return this.missingBytes === 0;
    }

    decode(input: ByteCursor, content: ContentSink): ResponseFault | undefined {
        const start = input.offset;
        const size = input.skip(this.missingBytes);
        this.missingBytes -= size;
        return content.append(input.bytes, start, start + size);
    }
}
