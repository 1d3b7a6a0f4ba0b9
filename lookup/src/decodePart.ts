import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { createHash } from "node:crypto";
import { inflateRawSync } from "node:zlib";
import { BlockList } from "./blockList.js";
import { BlockPart } from "./blockPart.js";
import { type PartHeader, partHeaderSchema } from "./partHeader.js";

const BITS_PER_BYTE = 8;
/** Far larger than any part; bounds the memory used for decompressing a damaged part. */
const MAX_COLUMN_BYTES = 16 * 1024 * 1024;

/**
 * Decodes a part that `encodePart` has encoded. Failure: `documentDamaged` if the part does not match its digest or is
 * not valid.
 */
export function decodePart(digest: string, text: string): Result<BlockPart, Failure> {
    try {
        const end = text.indexOf("\n") + 1;
        const line = text.slice(0, end);
        const columns = inflateRawSync(Buffer.from(text.slice(end), "base64"), { maxOutputLength: MAX_COLUMN_BYTES });
        if (createHash("sha256").update(line).update(columns).digest("base64url") !== digest) {
            return err(new Failure("documentDamaged", `block part ${digest} does not match its digest`));
        }
        const header = partHeaderSchema.parse(JSON.parse(line));
        return ok(new BlockPart({ isWide: header.wide, blocks: decodeColumns(header, columns) }));
    }
    catch (cause) {
        return err(new Failure("documentDamaged", `block part ${digest} cannot be read`, { cause }));
    }
}

function decodeColumns({ words, count, sites }: PartHeader, columns: Buffer): BlockList {
    const blocks = new BlockList(words);
    const start = Buffer.alloc(words * 4);
    const address = new Array<number>(words).fill(0);
    let suffixOffset = 4 * count;
    for (let block = 0; block < count; block++) {
        const sharedBytes = columns.readUInt8(block);
        const length = columns.readUInt8(count + block);
        const prefixBytes = Math.ceil(length / BITS_PER_BYTE);
        start.fill(0, sharedBytes);
        columns.copy(start, sharedBytes, suffixOffset, suffixOffset + prefixBytes - sharedBytes);
        suffixOffset += prefixBytes - sharedBytes;
        for (let word = 0; word < words; word++) {
            address[word] = start.readUInt32BE(word * 4);
        }
        blocks.add(address, length, sites[columns.readUInt16LE(2 * count + 2 * block)] as string);
    }
    return blocks;
}
