import { err, ok, type Result } from "neverthrow";
import type { BodyDecoder } from "./bodyDecoder.js";
import type { ByteCursor } from "./byteCursor.js";
import { LineReader } from "./lineReader.js";
import { parseHeaderFields } from "./parseHeaderFields.js";
import type { ResponseFault } from "./responseFault.js";

/** Size in hexadecimal digits and extensions (RFC 9112, section 7.1), which are ignored. */
const CHUNK_SIZE_PATTERN = /^([0-9A-Fa-f]{1,8})(?:[ \t]*;[\t\x20-\x7e\x80-\xff]*)?$/;
const MAX_LINE_BYTES = 16 * 1024;
const MAX_TRAILER_FIELDS = 100;
const NO_CONTENT = Buffer.alloc(0);

/** A body in chunks with their sizes, followed by trailers, which are dropped. */
export class ChunkedBody implements BodyDecoder {
    readonly endsWithConnection = false;
    private part: "size" | "content" | "contentEnd" | "trailers" | "complete" = "size";
    private missingBytes = 0;
    private trailerFields = 0;
    private readonly lines = new LineReader(MAX_LINE_BYTES);

    get isComplete(): boolean {
        return this.part === "complete";
    }

    decode(input: ByteCursor): Result<Buffer, ResponseFault> {
        if (this.part === "content") {
            return ok(this.takeContent(input));
        }
        const line = this.lines.read(input);
        if (line.isErr()) {
            return err(line.error);
        }
        const fault = line.value === undefined ? undefined : this.handleLine(line.value);
        return fault === undefined ? ok(NO_CONTENT) : err(fault);
    }

    private takeContent(input: ByteCursor): Buffer {
        const content = input.take(this.missingBytes);
        this.missingBytes -= content.length;
        if (this.missingBytes === 0) {
            this.part = "contentEnd";
        }
        return content;
    }

    private handleLine(line: string): ResponseFault | undefined {
        switch (this.part) {
            case "size":
                return this.handleSize(line);
            case "contentEnd":
                this.part = "size";
                return line === "" ? undefined : "chunkEnd";
            default:
                return this.handleTrailer(line);
        }
    }

    private handleSize(line: string): ResponseFault | undefined {
        const size = CHUNK_SIZE_PATTERN.exec(line)?.[1];
        if (size === undefined) {
            return "chunkSize";
        }
        this.missingBytes = Number.parseInt(size, 16);
        this.part = this.missingBytes === 0 ? "trailers" : "content";
        return undefined;
    }

    private handleTrailer(line: string): ResponseFault | undefined {
        if (line === "") {
            this.part = "complete";
            return undefined;
        }
        this.trailerFields++;
        if (this.trailerFields > MAX_TRAILER_FIELDS) {
            return "fieldCount";
        }
        const parsed = parseHeaderFields(`${line}\r\n`, { maxFields: 1 });
        return parsed.isErr() ? parsed.error : undefined;
    }
}
