import { createHash } from "node:crypto";
import { deflateRawSync } from "node:zlib";
import type { BlockList } from "./blockList.js";
import type { PartHeader } from "./partHeader.js";
import type { BlockGroup } from "./partitionBlocks.js";

/** A part as it is stored. */
export interface EncodedPart {
    /** SHA-256 digest of the uncompressed content, in base64url; part of the name of the stored object. */
    readonly digest: string;
    /** Header line, then the compressed columns in base64. */
    readonly text: string;
}

const BITS_PER_BYTE = 8;
const BYTES_PER_WORD = 4;

/**
 * Encodes a part: a header line of JSON, then columns that are compressed together (number of leading bytes shared with
 * the previous start address, prefix length, site index, remaining bytes of the start address). Columns compress to
 * less than half the size of rows, as their values are similar. The digest is that of the uncompressed content, so that
 * equal parts have the same name whatever the version of the compressor.
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
