import { ok, type Result } from "neverthrow";
import type { BodyDecoder } from "./bodyDecoder.js";
import type { ByteCursor } from "./byteCursor.js";
import type { ResponseFault } from "./responseFault.js";

/** A body without a stated length, which ends with its connection. */
export class UnframedBody implements BodyDecoder {
    readonly isComplete = false;
    readonly endsWithConnection = true;

    decode(input: ByteCursor): Result<Buffer, ResponseFault> {
        return ok(input.take(Infinity));
    }
}
