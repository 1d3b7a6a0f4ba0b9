import type { WordCount } from "./blockList.js";
import type { BlockPart } from "./blockPart.js";
import { findLastStart } from "./findLastStart.js";
import { type AddressWords, parseAddress } from "./parseAddress.js";
import type { RangeTable } from "./rangeTable.js";

interface FamilyTable {
    readonly wordCount: WordCount;
    /** Start address of each part, in ascending order. */
    readonly starts: Uint32Array;
    readonly parts: readonly RangeTable[];
    /** Wide blocks, which are searched if no block of the parts matches. */
    readonly wide: RangeTable | undefined;
}

/**
 * Finds the site of a client address by longest prefix match over the parts of a block map. Immutable, so that a new
 * map replaces the old one atomically.
 */
export class BlockTable {
    private readonly ipv4: FamilyTable;
    private readonly ipv6: FamilyTable;
    /** Number of blocks in all parts. */
    readonly blockCount: number;

    constructor(parts: readonly BlockPart[]) {
        this.ipv4 = buildFamilyTable(parts, 1);
        this.ipv6 = buildFamilyTable(parts, 4);
        this.blockCount = parts.reduce((sum, part) => sum + part.blockCount, 0);
    }

    /** Memory used by the arrays, in bytes. */
    get bytes(): number {
        return [this.ipv4, this.ipv6].reduce((sum, { starts, parts, wide }) => {
            return sum + starts.byteLength + (wide?.bytes ?? 0) + parts.reduce((all, part) => all + part.bytes, 0);
        }, 0);
    }

    /**
     * Returns the site of the block with the longest prefix that contains the address; `undefined` if there is none or
     * the text is not an address.
     */
    siteOf(text: string): string | undefined {
        const address = parseAddress(text);
        return address && this.siteOfWords(address);
    }

    /** Like `siteOf`, for a parsed address. */
    siteOfWords(address: AddressWords): string | undefined {
        const { starts, parts, wide, wordCount } = address.length === 1 ? this.ipv4 : this.ipv6;
        const index = findLastStart(starts, wordCount, address);
        return parts[index]?.siteOf(address) ?? wide?.siteOf(address);
    }
}

function buildFamilyTable(all: readonly BlockPart[], wordCount: WordCount): FamilyTable {
    const ofFamily = all.filter(part => part.wordCount === wordCount);
    const narrow = ofFamily.filter(part => !part.isWide).sort((a, b) => compareStarts(a.start, b.start));
    return {
        wordCount,
        starts: Uint32Array.from(narrow.flatMap(part => part.start)),
        parts: narrow.map(part => part.ranges),
        wide: ofFamily.find(part => part.isWide)?.ranges,
    };
}

function compareStarts(first: AddressWords, second: AddressWords): number {
    const word = first.findIndex((value, index) => value !== second[index]);
    return word < 0 ? 0 : (first[word] as number) - (second[word] as number);
}
