import type { BodyDecoder } from "./bodyDecoder.js";
import type { ByteCursor } from "./byteCursor.js";
import { ChunkSize } from "./chunkSize.js";
import type { ContentSink } from "./contentSink.js";
import { LineReader } from "./lineReader.js";
import { parseHeaderFields } from "./parseHeaderFields.js";
import type { ResponseFault } from "./responseFault.js";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const MAX_TRAILER_BYTES = 16 * 1024;
const MAX_TRAILER_FIELDS = 100;
/** A body may have as many bytes of framing as of content, as targets that flush small pieces do, and this many more. */
const MIN_FRAMING_LIMIT_BYTES = 64 * 1024;
const LINE_END_BYTES = 2;

/**
 * A body in chunks with their sizes, followed by trailers, which are dropped. One that consists mostly of framing is given up, so that
 * chunks of five bytes and more always pass, and smaller ones at the start of a body.
 */
export class ChunkedBody implements BodyDecoder {
    readonly endsWithConnection = false;
    private part: "size" | "content" | "contentReturn" | "contentLineFeed" | "trailers" | "complete" = "size";
    private missingBytes = 0;
    private contentBytes = 0;
    private framingBytes = 0;
    private trailerFields = 0;
    private readonly size = new ChunkSize();
    private readonly trailers = new LineReader(MAX_TRAILER_BYTES);

    get isComplete(): boolean {
        return this.part === "complete";
    }

    decode(input: ByteCursor, content: ContentSink): ResponseFault | undefined {
        let fault: ResponseFault | undefined;
        while (fault === undefined && !this.isComplete && !input.isAtEnd) {
            fault = this.decodePart(input, content);
        }
        return fault;
    }

    private decodePart(input: ByteCursor, content: ContentSink): ResponseFault | undefined {
        switch (this.part) {
            case "size":
                return this.takeSize(input);
            case "content":
                return this.takeContent(input, content);
            case "contentReturn":
                this.part = "contentLineFeed";
                return input.bytes[input.offset++] === CARRIAGE_RETURN ? undefined : "chunkEnd";
            case "contentLineFeed":
                this.part = "size";
                return input.bytes[input.offset++] === LINE_FEED ? undefined : "chunkEnd";
            default:
                return this.takeTrailer(input);
        }
    }

    private takeSize(input: ByteCursor): ResponseFault | undefined {
        const start = input.offset;
        const fault = this.size.read(input);
        this.framingBytes += input.offset - start;
        if (fault !== undefined || !this.size.isComplete) {
            return fault;
        }
        this.framingBytes += LINE_END_BYTES;
        this.missingBytes = this.size.value;
        this.part = this.missingBytes === 0 ? "trailers" : "content";
        this.size.reset();
        return this.framingBytes > MIN_FRAMING_LIMIT_BYTES + this.contentBytes ? "overhead" : undefined;
    }

    private takeContent(input: ByteCursor, content: ContentSink): ResponseFault | undefined {
        const start = input.offset;
        const size = input.skip(this.missingBytes);
        this.missingBytes -= size;
        this.contentBytes += size;
        if (this.missingBytes === 0) {
            this.part = "contentReturn";
        }
        return content.append(input.bytes, start, start + size);
    }

    private takeTrailer(input: ByteCursor): ResponseFault | undefined {
        const line = this.trailers.read(input);
        if (line.isErr()) {
            return line.error;
        }
        if (line.value === "") {
            this.part = "complete";
            return undefined;
        }
        return line.value === undefined ? undefined : this.checkTrailer(line.value);
    }

    private checkTrailer(line: string): ResponseFault | undefined {
        this.trailerFields++;
        if (this.trailerFields > MAX_TRAILER_FIELDS) {
            return "fieldCount";
        }
        const parsed = parseHeaderFields(`${line}\r\n`, { maxFields: 1 });
        return parsed.isErr() ? parsed.error : undefined;
    }
}
