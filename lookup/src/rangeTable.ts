import type { BlockList } from "./blockList.js";
import { findLastStart } from "./findLastStart.js";
import type { AddressWords } from "./parseAddress.js";

const BITS_PER_WORD = 32;
const WORD_RANGE = 2 ** BITS_PER_WORD;
const MAX_UINT8 = 255;
/** Maximum number of nested blocks: one for each prefix length from 0 to 128 bits. */
const MAX_DEPTH = 129;
/** Value of ranges that no block covers. The site with index `i` has the value `i + 1`. */
const NO_SITE = 0;

/**
 * Blocks converted to disjoint ranges, which are looked up by binary search. Start addresses are stored with only as
 * many words as the longest prefix needs, because the remaining words of all range boundaries are zero.
 */
export class RangeTable {
    private readonly starts: Uint32Array;
    private readonly values: Uint8Array | Uint16Array;
    private readonly stride: number;
    private readonly sites: readonly string[];

    /** @param blocks Sorted blocks; of several blocks with the same prefix, the last one takes effect. */
    constructor(blocks: BlockList) {
        this.sites = [...blocks.sites];
        this.stride = strideOf(blocks);
        const ranges = new RangeWriter(this.stride, blocks.size);
        const openBlocks = new OpenBlocks(this.stride, ranges);
        const start = new Uint32Array(this.stride);
        for (let block = 0; block < blocks.size; block++) {
            if (block + 1 < blocks.size && blocks.compare(block, block + 1) === 0) {
                continue;
            }
            for (let word = 0; word < this.stride; word++) {
                start[word] = blocks.wordAt(block, word);
            }
            openBlocks.closeBefore(start);
            const value = blocks.siteIndexAt(block) + 1;
            ranges.write(start, 0, value);
            openBlocks.push(start, blocks.lengthAt(block), value);
        }
        openBlocks.closeAll();
        this.starts = ranges.starts.slice(0, ranges.count * this.stride);
        this.values = this.sites.length < MAX_UINT8
            ? Uint8Array.from(ranges.values.subarray(0, ranges.count))
            : ranges.values.slice(0, ranges.count);
    }

    /** Memory used by the arrays, in bytes. */
    get bytes(): number {
        return this.starts.byteLength + this.values.byteLength;
    }

    /** Number of disjoint ranges. */
    get rangeCount(): number {
        return this.values.length;
    }

    /** Returns the site of the longest prefix that contains the address; `undefined` if there is none. */
    siteOf(address: AddressWords): string | undefined {
        const range = findLastStart(this.starts, this.stride, address);
        const value = range < 0 ? NO_SITE : this.values[range] as number;
        return value === NO_SITE ? undefined : this.sites[value - 1];
    }
}

/** Writes the start addresses and values of ranges in ascending order. */
class RangeWriter {
    readonly starts: Uint32Array;
    readonly values: Uint16Array;
    count = 0;

    constructor(private readonly stride: number, blockCount: number) {
        // Each block adds at most two ranges: one that starts with it and one that starts after its end.
        this.starts = new Uint32Array(2 * blockCount * stride);
        this.values = new Uint16Array(2 * blockCount);
    }

    /**
     * Starts a range at the address at `offset` of `source`. Replaces the previous range if it has the same start, and
     * extends it if it has the same value.
     */
    write(source: Uint32Array, offset: number, value: number): void {
        const { starts, stride } = this;
        if (this.count > 0 && compareWords(starts, (this.count - 1) * stride, source, offset, stride) === 0) {
            this.count--;
        }
        if ((this.count === 0 ? NO_SITE : this.values[this.count - 1]) === value) {
            return;
        }
        for (let word = 0; word < stride; word++) {
            starts[this.count * stride + word] = source[offset + word] as number;
        }
        this.values[this.count] = value;
        this.count++;
    }
}

/**
 * Stack of the nested blocks that contain the current start address, outermost first. Uses an array for each property,
 * because one object for each block doubles the time to build the table.
 */
class OpenBlocks {
    private readonly ends: Uint32Array;
    /** 1 for blocks that extend to the last address, which have no address after them. */
    private readonly endsWithAddressSpace = new Uint8Array(MAX_DEPTH);
    private readonly values = new Uint16Array(MAX_DEPTH);
    private depth = 0;

    constructor(private readonly stride: number, private readonly ranges: RangeWriter) {
        this.ends = new Uint32Array(MAX_DEPTH * stride);
    }

    /** Adds a block that is contained in the innermost one. */
    push(start: Uint32Array, length: number, value: number): void {
        this.values[this.depth] = value;
        this.endsWithAddressSpace[this.depth] = this.writeEnd(start, length) ? 1 : 0;
        this.depth++;
    }

    /** Closes all blocks that end before `start`, innermost first. */
    closeBefore(start: Uint32Array): void {
        while (this.depth > 0 && this.endsWithAddressSpace[this.depth - 1] === 0) {
            if (compareWords(this.ends, (this.depth - 1) * this.stride, start, 0, this.stride) > 0) {
                return;
            }
            this.close();
        }
    }

    /** Closes all remaining blocks, innermost first. */
    closeAll(): void {
        while (this.depth > 0) {
            this.close();
        }
    }

    private close(): void {
        this.depth--;
        if (this.endsWithAddressSpace[this.depth] === 0) {
            const outerValue = this.depth > 0 ? this.values[this.depth - 1] as number : NO_SITE;
            this.ranges.write(this.ends, this.depth * this.stride, outerValue);
        }
    }

    /** Stores the first address after a block. Returns whether the block extends to the last address. */
    private writeEnd(start: Uint32Array, length: number): boolean {
        const offset = this.depth * this.stride;
        const lastWord = Math.ceil(length / BITS_PER_WORD) - 1;
        let carry = lastWord < 0 ? 1 : 2 ** (BITS_PER_WORD * (lastWord + 1) - length);
        for (let word = this.stride - 1; word >= 0; word--) {
            const sum = (start[word] as number) + (word <= lastWord ? carry : 0);
            this.ends[offset + word] = sum % WORD_RANGE;
            carry = word > lastWord ? carry : sum >= WORD_RANGE ? 1 : 0;
        }
        return carry > 0;
    }
}

function compareWords(a: Uint32Array, aOffset: number, b: Uint32Array, bOffset: number, stride: number): number {
    for (let word = 0; word < stride; word++) {
        const difference = (a[aOffset + word] as number) - (b[bOffset + word] as number);
        if (difference !== 0) {
            return difference;
        }
    }
    return 0;
}

/** Returns the number of words that the longest prefix needs; at least 1. */
function strideOf(blocks: BlockList): number {
    let longest = 1;
    for (let block = 0; block < blocks.size; block++) {
        longest = Math.max(longest, blocks.lengthAt(block));
    }
    return Math.ceil(longest / BITS_PER_WORD);
}
