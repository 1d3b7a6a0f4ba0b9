import type { ByteCursor } from "./byteCursor.js";
import type { ContentSink } from "./contentSink.js";
import type { ResponseFault } from "./responseFault.js";

/** Takes the content of one body from the bytes of a connection. */
export interface BodyDecoder {
    /** Whether all of the body has been read. */
    readonly isComplete: boolean;

    /**
     * Takes at least one byte, and passes the content among the bytes taken to the sink. To be called only while the body is
     * incomplete and bytes are left.
     */
    decode(input: ByteCursor, content: ContentSink): ResponseFault | undefined;

    /** Whether the body is complete if the connection ends now. */
    readonly endsWithConnection: boolean;
}
