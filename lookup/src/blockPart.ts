import type { BlockList, WordCount } from "./blockList.js";
import type { AddressWords } from "./parseAddress.js";
import type { BlockGroup } from "./partitionBlocks.js";
import { RangeTable } from "./rangeTable.js";

/**
 * One part of the block map, decoded for lookups. Immutable, so that successive tables can share unchanged parts.
 */
export class BlockPart {
    /** Number of 32-bit words in an address. */
    readonly wordCount: WordCount;
    /** Whether this part holds the wide blocks, which contain the prefixes of other parts. */
    readonly isWide: boolean;
    readonly blockCount: number;
    /** Start address of the first block. */
    readonly start: AddressWords;
    /** Lookup table of the blocks. */
    readonly ranges: RangeTable;

    constructor({ blocks, isWide }: BlockGroup) {
        this.wordCount = blocks.wordCount;
        this.isWide = isWide;
        this.blockCount = blocks.size;
        this.start = startOf(blocks);
        this.ranges = new RangeTable(blocks);
    }
}

function startOf(blocks: BlockList): AddressWords {
    return Array.from({ length: blocks.wordCount }, (_, word) => blocks.wordAt(0, word));
}
