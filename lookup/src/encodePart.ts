import { createHash } from "node:crypto";
import { deflateRawSync } from "node:zlib";
import type { BlockList } from "./blockList.js";
import type { PartHeader } from "./partHeader.js";
import type { BlockGroup } from "./partitionBlocks.js";

/** A part as it is kept in the store. */
export interface EncodedPart {
    /** SHA-256 of the content before compression, in base64url; names the part. */
    readonly digest: string;
    readonly text: string;
}

const BITS_PER_BYTE = 8;
const BYTES_PER_WORD = 4;

/**
 * Encodes a part: a line of JSON, then columns (bytes shared with the start before, length, site, remaining bytes of the
 * start) that are compressed together. Columns of like values compress to less than half of rows. The digest does not
 * depend on the compressor, so that two versions of it name equal parts alike.
 */
export function encodePart({ isWide, blocks }: BlockGroup): EncodedPart {
    const header: PartHeader = {
        words: blocks.wordCount,
        wide: isWide,
        count: blocks.size,
        sites: [...blocks.sites],
    };
    const line = `${JSON.stringify(header)}\n`;
    const columns = encodeColumns(blocks);
    const digest = createHash("sha256").update(line).update(columns).digest("base64url");
    return { digest, text: line + deflateRawSync(columns).toString("base64") };
}

function encodeColumns(blocks: BlockList): Buffer {
    const shared = Buffer.alloc(blocks.size);
    const lengths = Buffer.alloc(blocks.size);
    const sites = Buffer.alloc(blocks.size * 2);
    const suffixes: number[] = [];
    for (let block = 0; block < blocks.size; block++) {
        const prefixBytes = Math.ceil(blocks.lengthAt(block) / BITS_PER_BYTE);
        let sharedBytes = 0;
        while (
            block > 0 && sharedBytes < prefixBytes &&
            byteAt(blocks, block, sharedBytes) === byteAt(blocks, block - 1, sharedBytes)
        ) {
            sharedBytes++;
        }
        shared[block] = sharedBytes;
        lengths[block] = blocks.lengthAt(block);
        sites.writeUInt16LE(blocks.siteIndexAt(block), block * 2);
        for (let index = sharedBytes; index < prefixBytes; index++) {
            suffixes.push(byteAt(blocks, block, index));
        }
    }
    return Buffer.concat([shared, lengths, sites, Buffer.from(suffixes)]);
}

function byteAt(blocks: BlockList, block: number, index: number): number {
    const shift = (BYTES_PER_WORD - 1 - index % BYTES_PER_WORD) * BITS_PER_BYTE;
    return blocks.wordAt(block, Math.floor(index / BYTES_PER_WORD)) >>> shift & 0xff;
}
