import type { AddressWords } from "./parseAddress.js";

/** Number of 32-bit words in an address of a family. */
export type WordCount = 1 | 4;

const INITIAL_CAPACITY = 1_024;

/**
 * Client blocks of one address family, stored in one typed array for each property. Blocks are ordered by start address
 * and then by prefix length, once `sort` has been called.
 */
export class BlockList {
    /** Site names, by the indexes that `siteIndexAt` returns. */
    readonly sites: string[] = [];
    private readonly siteIndexes = new Map<string, number>();
    private starts: Uint32Array;
    private lengths = new Uint8Array(INITIAL_CAPACITY);
    private siteColumn = new Uint16Array(INITIAL_CAPACITY);
    private count = 0;

    /** @param wordCount Number of 32-bit words in an address, which determines the address family. */
    constructor(readonly wordCount: WordCount) {
        this.starts = new Uint32Array(INITIAL_CAPACITY * wordCount);
    }

    /** Number of blocks. */
    get size(): number {
        return this.count;
    }

    /** Adds a block with a prefix length in bits. Unless blocks are added in order, call `sort` afterwards. */
    add(address: AddressWords, length: number, site: string): void {
        if (this.count === this.lengths.length) {
            this.resize(this.count * 2);
        }
        for (let word = 0; word < this.wordCount; word++) {
            this.starts[this.count * this.wordCount + word] = address[word] as number;
        }
        this.lengths[this.count] = length;
        this.siteColumn[this.count] = this.siteIndexOf(site);
        this.count++;
    }

    /** Returns a word of the start address of a block. */
    wordAt(block: number, word: number): number {
        return this.starts[block * this.wordCount + word] as number;
    }

    /** Returns the prefix length of a block in bits. */
    lengthAt(block: number): number {
        return this.lengths[block] as number;
    }

    /** Returns the index in `sites` of the site of a block. */
    siteIndexAt(block: number): number {
        return this.siteColumn[block] as number;
    }

    /** Compares two blocks in sort order: negative if the first one precedes, 0 if both have the same prefix. */
    compare(first: number, second: number): number {
        for (let word = 0; word < this.wordCount; word++) {
            const difference = this.wordAt(first, word) - this.wordAt(second, word);
            if (difference !== 0) {
                return difference;
            }
        }
        return this.lengthAt(first) - this.lengthAt(second);
    }

    /** Sorts the blocks. Returns the previous index of each block, so that callers can locate it in its source. */
    sort(): Uint32Array {
        const order = Uint32Array.from({ length: this.count }, (_, index) => index);
        // Exports are usually sorted already, and checking the order is far cheaper than sorting.
        if (!this.isSorted()) {
            order.sort((first, second) => this.compare(first, second) || first - second);
            this.reorder(order);
        }
        return order;
    }

    /** Copies the blocks at the given indexes to a new list, in that order. */
    select(indexes: Uint32Array): BlockList {
        const picked = new BlockList(this.wordCount);
        const address: number[] = new Array<number>(this.wordCount).fill(0);
        for (const index of indexes) {
            for (let word = 0; word < this.wordCount; word++) {
                address[word] = this.wordAt(index, word);
            }
            picked.add(address, this.lengthAt(index), this.sites[this.siteIndexAt(index)] as string);
        }
        return picked;
    }

    private isSorted(): boolean {
        for (let block = 1; block < this.count; block++) {
            if (this.compare(block - 1, block) > 0) {
                return false;
            }
        }
        return true;
    }

    private reorder(order: Uint32Array): void {
        const { starts, lengths, siteColumn, wordCount } = this;
        this.starts = new Uint32Array(this.count * wordCount);
        this.lengths = new Uint8Array(this.count);
        this.siteColumn = new Uint16Array(this.count);
        order.forEach((from, to) => {
            for (let word = 0; word < wordCount; word++) {
                this.starts[to * wordCount + word] = starts[from * wordCount + word] as number;
            }
            this.lengths[to] = lengths[from] as number;
            this.siteColumn[to] = siteColumn[from] as number;
        });
    }

    private resize(capacity: number): void {
        const { starts, lengths, siteColumn } = this;
        this.starts = new Uint32Array(capacity * this.wordCount);
        this.starts.set(starts);
        this.lengths = new Uint8Array(capacity);
        this.lengths.set(lengths);
        this.siteColumn = new Uint16Array(capacity);
        this.siteColumn.set(siteColumn);
    }

    private siteIndexOf(site: string): number {
        const existing = this.siteIndexes.get(site);
        if (existing !== undefined) {
            return existing;
        }
        this.siteIndexes.set(site, this.sites.length);
        this.sites.push(site);
        return this.sites.length - 1;
    }
}
