import { BlockList, BlockTable, decodePart, encodePart, parseBlock, partitionBlocks } from "@pistachioreel/lookup";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";

const BLOCKS = 20_000;
const SITES = 59;

/** A map with a block in each /24 from 10.0.0.0 on, wide blocks around them, and IPv6 blocks. */
function encodeMap(siteOf: (block: number) => number = block => block % SITES) {
    const [ipv4, ipv6] = [new BlockList(1), new BlockList(4)];
    const add = (list: BlockList, text: string, site: number) => {
        const block = parseBlock(text);
        assert.ok(block, text);
        list.add(block.address, block.length, `site-${site}`);
    };
    add(ipv4, "0.0.0.0/0", 0);
    add(ipv4, "10.0.0.0/8", 1);
    add(ipv6, "2000::/3", 2);
    for (let block = 0; block < BLOCKS; block++) {
        add(ipv4, `10.${block >> 8}.${block & 255}.0/24`, siteOf(block));
        add(ipv6, `2001:db8:${block.toString(16)}::/48`, siteOf(block));
    }
    return [ipv4, ipv6].flatMap(list => {
        list.sort();
        return partitionBlocks(list).map(encodePart);
    });
}

test("a map that went through its stored form gives the same sites", () => {
    const table = new BlockTable(encodeMap().map(({ digest, text }) => decodePart(digest, text)._unsafeUnwrap()));
    assert.equal(table.blockCount, 2 * BLOCKS + 3);
    fc.assert(fc.property(fc.nat(BLOCKS - 1), block => {
        const expected = `site-${block % SITES}`;
        assert.equal(table.siteOf(`10.${block >> 8}.${block & 255}.77`), expected);
        assert.equal(table.siteOf(`2001:db8:${block.toString(16)}::1`), expected);
    }));
    assert.equal(table.siteOf("10.255.0.1"), "site-1");
    assert.equal(table.siteOf("11.0.0.1"), "site-0");
    assert.equal(table.siteOf("2001:db9::1"), "site-2");
});

test("a change of one block changes one part, so that hosts do not read the whole map again", () => {
    const before = encodeMap();
    const after = encodeMap(block => block === 12_345 ? 7 : block % SITES);
    const held = new Set(before.map(part => part.digest));
    const changed = after.filter(part => !held.has(part.digest));
    assert.equal(changed.length, 2, "one part of each family, as both have block 12345");
    assert.ok(after.length >= 8, `${after.length} parts`);
    assert.ok(after.every(part => part.text.length < 1_000_000));
});

test("a part that was changed or cut in the store is refused", () => {
    const { digest, text } = encodeMap()[1] as { digest: string; text: string; };
    const damaged = [
        text.replace("site-3", "site-4"),
        text.slice(0, -40),
        `${text.slice(0, 400)}A${text.slice(401)}`,
        "",
    ];
    for (const candidate of damaged) {
        assert.equal(decodePart(digest, candidate)._unsafeUnwrapErr().code, "documentDamaged");
    }
});
