import { BlockList, BlockTable, decodePart, encodePart, parseBlock, partitionBlocks } from "@pistachioreel/lookup";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";

const BLOCK_COUNT = 20_000;
const SITE_COUNT = 59;

/** Encodes a map of consecutive /24 blocks from 10.0.0.0, /48 blocks in IPv6, and wide blocks that contain them. */
function encodeBlockMap(siteOf: (block: number) => number = block => block % SITE_COUNT) {
    const [ipv4, ipv6] = [new BlockList(1), new BlockList(4)];
    const add = (list: BlockList, text: string, site: number) => {
        const block = parseBlock(text);
        assert.ok(block, text);
        list.add(block.address, block.length, `site-${site}`);
    };
    add(ipv4, "0.0.0.0/0", 0);
    add(ipv4, "10.0.0.0/8", 1);
    add(ipv6, "2000::/3", 2);
    for (let block = 0; block < BLOCK_COUNT; block++) {
        add(ipv4, `10.${block >> 8}.${block & 255}.0/24`, siteOf(block));
        add(ipv6, `2001:db8:${block.toString(16)}::/48`, siteOf(block));
    }
    return [ipv4, ipv6].flatMap(list => {
        list.sort();
        return partitionBlocks(list).map(encodePart);
    });
}

test("a map that is encoded and decoded finds the same sites", () => {
    const table = new BlockTable(encodeBlockMap().map(({ digest, text }) => decodePart(digest, text)._unsafeUnwrap()));
    assert.equal(table.blockCount, 2 * BLOCK_COUNT + 3);
    fc.assert(fc.property(fc.nat(BLOCK_COUNT - 1), block => {
        const expected = `site-${block % SITE_COUNT}`;
        assert.equal(table.siteOf(`10.${block >> 8}.${block & 255}.77`), expected);
        assert.equal(table.siteOf(`2001:db8:${block.toString(16)}::1`), expected);
    }));
    assert.equal(table.siteOf("10.255.0.1"), "site-1");
    assert.equal(table.siteOf("11.0.0.1"), "site-0");
    assert.equal(table.siteOf("2001:db9::1"), "site-2");
});

test("a change of one block changes only one part, so that hosts need not load the complete map again", () => {
    const before = encodeBlockMap();
    const after = encodeBlockMap(block => block === 12_345 ? 7 : block % SITE_COUNT);
    const digestsBefore = new Set(before.map(part => part.digest));
    const changed = after.filter(part => !digestsBefore.has(part.digest));
    assert.equal(changed.length, 2, "one part of each family, as both have block 12345");
    assert.ok(after.length >= 8, `${after.length} parts`);
    assert.ok(after.every(part => part.text.length < 1_000_000));
});

test("a part that was altered or truncated in the store is rejected", () => {
    const { digest, text } = encodeBlockMap()[1] as { digest: string; text: string; };
    const damaged = [
        text.replace("site-3", "site-4"),
        text.slice(0, -40),
        `${text.slice(0, 400)}A${text.slice(401)}`,
        "",
    ];
    for (const damagedText of damaged) {
        assert.equal(decodePart(digest, damagedText)._unsafeUnwrapErr().code, "documentDamaged");
    }
});
