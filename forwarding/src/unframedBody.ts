import type { BodyDecoder } from "./bodyDecoder.js";
import type { ByteCursor } from "./byteCursor.js";
import type { ContentSink } from "./contentSink.js";
import type { ResponseFault } from "./responseFault.js";

/** A body without a stated length, which ends with its connection. */
export class UnframedBody implements BodyDecoder {
    readonly isComplete = false;
    readonly endsWithConnection = true;

    decode(input: ByteCursor, content: ContentSink): ResponseFault | undefined {
        const start = input.offset;
        const size = input.skip(Infinity);
        return content.append(input.bytes, start, start + size);
    }
}
