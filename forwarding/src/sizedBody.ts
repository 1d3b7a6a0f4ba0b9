import { ok, type Result } from "neverthrow";
import type { BodyDecoder } from "./bodyDecoder.js";
import type { ByteCursor } from "./byteCursor.js";
import type { ResponseFault } from "./responseFault.js";

/** A body whose length in bytes is known. */
export class SizedBody implements BodyDecoder {
    readonly endsWithConnection = false;

    constructor(private missingBytes: number) {}

    get isComplete(): boolean {
        return this.missingBytes === 0;
    }

    decode(input: ByteCursor): Result<Buffer, ResponseFault> {
        const content = input.take(this.missingBytes);
        this.missingBytes -= content.length;
        return ok(content);
    }
}
