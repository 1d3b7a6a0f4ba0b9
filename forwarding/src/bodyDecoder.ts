import type { Result } from "neverthrow";
import type { ByteCursor } from "./byteCursor.js";
import type { ResponseFault } from "./responseFault.js";

/** Takes the content of one body from the bytes of a connection. */
export interface BodyDecoder {
    /** Whether all of the body has been read. */
    readonly isComplete: boolean;

    /**
     * Takes at least one byte and returns the content among the bytes taken, which may be empty. To be called only while the
     * body is incomplete and bytes are left.
     */
    decode(input: ByteCursor): Result<Buffer, ResponseFault>;

    /** Whether the body is complete if the connection ends now. */
    readonly endsWithConnection: boolean;
}
