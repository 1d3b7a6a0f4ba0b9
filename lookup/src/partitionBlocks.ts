import type { BlockList } from "./blockList.js";

/** Blocks that lie in one prefix, or the wide blocks that contain whole prefixes. */
export interface BlockGroup {
    readonly isWide: boolean;
    readonly blocks: BlockList;
}

interface PartitionOptions {
    /** Blocks that a part holds at most. */
    readonly maxBlocks?: number;
}

const BITS_PER_WORD = 32;
/** Trades the size of a part against the size of the list of parts, which both move with each change of a block. */
const DEFAULT_MAX_BLOCKS = 8_192;

/**
 * Splits sorted blocks by halving the address space until no prefix holds more than `maxBlocks`. The split depends on the
 * content only, so that a change of one block leaves all other parts as they are. Blocks that are wider than a part's
 * prefix form a group of their own: within a part, every block is longer than any of them.
 */
export function partitionBlocks(blocks: BlockList, opts: PartitionOptions = {}): BlockGroup[] {
    const maxBlocks = opts.maxBlocks ?? DEFAULT_MAX_BLOCKS;
    const wide: number[] = [];
    const groups: BlockGroup[] = [];
    const split = (from: number, to: number, depth: number) => {
        if (to - from <= maxBlocks) {
            if (to > from) {
                groups.push({ isWide: false, blocks: blocks.select(indexesBetween(from, to)) });
            }
            return;
        }
        let first = from;
        while (first < to && blocks.lengthAt(first) <= depth) {
            wide.push(first++);
        }
        const middle = firstWithBit(blocks, first, to, depth);
        split(first, middle, depth + 1);
        split(middle, to, depth + 1);
    };
    split(0, blocks.size, 0);
    if (wide.length > 0) {
        groups.unshift({ isWide: true, blocks: blocks.select(Uint32Array.from(wide)) });
    }
    return groups;
}

function indexesBetween(from: number, to: number): Uint32Array {
    return Uint32Array.from({ length: to - from }, (_, index) => from + index);
}

/** First block in the range whose start has the bit set; the blocks agree in all bits before it. */
function firstWithBit(blocks: BlockList, from: number, to: number, bit: number): number {
    const word = Math.floor(bit / BITS_PER_WORD);
    const shift = BITS_PER_WORD - 1 - bit % BITS_PER_WORD;
    let low = from;
    let high = to;
    while (low < high) {
        const middle = (low + high) >>> 1;
        if ((blocks.wordAt(middle, word) >>> shift & 1) === 1) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return low;
}
