import type { BlockList } from "./blockList.js";

/** All blocks within one prefix of the partition, or the wide blocks, which contain whole prefixes. */
export interface BlockGroup {
    readonly isWide: boolean;
    readonly blocks: BlockList;
}

interface PartitionOptions {
    /** Maximum number of blocks in a part; the part of the wide blocks may exceed it. */
    readonly maxBlocks?: number;
}

const BITS_PER_WORD = 32;
/** A change of one block transfers one part and the list of all parts; larger parts make the list shorter. */
const DEFAULT_MAX_BLOCKS = 8_192;

/**
 * Partitions sorted blocks by halving the address space until no prefix contains more than `maxBlocks`. The partition
 * depends only on the blocks, so that a change of one block leaves all other parts unchanged. Blocks that contain a
 * whole prefix that is halved form a separate group of wide blocks. Every other block has a longer prefix than all wide
 * blocks that contain it, so that a match in its part takes precedence.
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

/** Returns the first block in the range whose start address has the bit set. All preceding bits must be equal. */
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
