import { BlockList, BlockPart, BlockTable, parseAddress, parseBlock, partitionBlocks } from "@pistachioreel/lookup";
import fc from "fast-check";
import ipaddr from "ipaddr.js";
import assert from "node:assert/strict";
import { test } from "node:test";

const SITES = ["perth", "tbilisi", "kutaisi", "batumi"];
const PROPERTY_RUNS = 2_000;
const SEED = Number(process.env["SEED"] ?? 1);

interface TestBlock {
    readonly bits: 32 | 128;
    readonly address: bigint;
    readonly length: number;
    readonly site: string;
}

function hostMask(bits: number, length: number): bigint {
    return (1n << BigInt(bits - length)) - 1n;
}

/** Generates addresses in which few bits vary, so that nested and adjacent blocks are frequent. */
function addressArbitrary(bits: 32 | 128): fc.Arbitrary<bigint> {
    const dense = fc.tuple(fc.nat(15), fc.nat(15), fc.nat(3)).map(([top, middle, low]) =>
        BigInt(top) << BigInt(bits - 4) | BigInt(middle) << BigInt(bits / 2) | BigInt(low)
    );
    return fc.oneof(
        { weight: 4, arbitrary: dense },
        { weight: 1, arbitrary: fc.bigInt(0n, (1n << BigInt(bits)) - 1n) },
        { weight: 1, arbitrary: fc.constantFrom(0n, (1n << BigInt(bits)) - 1n) },
    );
}

/** Whether an address is in ::ffff:0:0/96. Such addresses are looked up as IPv4 addresses. */
function isMapped(bits: 32 | 128, address: bigint): boolean {
    return bits === 128 && address >> 32n === 0xffffn;
}

function blockArbitrary(bits: 32 | 128): fc.Arbitrary<TestBlock> {
    const length = fc.oneof(fc.constantFrom(0, 1, 4, bits / 2, bits - 2, bits), fc.nat(bits));
    return fc.tuple(addressArbitrary(bits), length, fc.constantFrom(...SITES)).map(([address, prefix, site]) => {
        return { bits, address: address & ~hostMask(bits, prefix), length: prefix, site };
    });
}

function lookupCaseArbitrary(bits: 32 | 128) {
    return fc.record({
        blocks: fc.uniqueArray(blockArbitrary(bits), {
            maxLength: 40,
            selector: block => `${block.address}/${block.length}`,
        }),
        probes: fc.array(addressArbitrary(bits), { maxLength: 20 }),
        maxBlocks: fc.integer({ min: 1, max: 50 }),
    });
}

function formatAddress(bits: 32 | 128, address: bigint): string {
    if (bits === 32) {
        return [24n, 16n, 8n, 0n].map(shift => address >> shift & 0xffn).join(".");
    }
    return Array.from({ length: 8 }, (_, index) => (address >> BigInt(112 - 16 * index) & 0xffffn).toString(16)).join(
        ":",
    );
}

function buildTable(all: readonly TestBlock[], maxBlocks: number): BlockTable {
    const lists = { 32: new BlockList(1), 128: new BlockList(4) };
    for (const { bits, address, length, site } of all) {
        const block = parseBlock(`${formatAddress(bits, address)}/${length}`);
        assert.ok(block);
        lists[bits].add(block.address, block.length, site);
    }
    const groups = Object.values(lists).flatMap(list => {
        list.sort();
        return partitionBlocks(list, { maxBlocks });
    });
    return new BlockTable(groups.map(group => new BlockPart(group)));
}

function naiveSiteOf(all: readonly TestBlock[], bits: 32 | 128, address: bigint): string | undefined {
    return all
        .filter(block => block.bits === bits && (address & ~hostMask(bits, block.length)) === block.address)
        .sort((a, b) => b.length - a.length)[0]?.site;
}

/** Returns the addresses on both sides of each block boundary, to detect off-by-one errors. */
function boundaryAddresses(bits: 32 | 128, all: readonly TestBlock[]): bigint[] {
    const last = (1n << BigInt(bits)) - 1n;
    return all
        .flatMap(({ address, length }) => {
            const end = address + hostMask(bits, length);
            return [address - 1n, address, end, end + 1n];
        })
        .filter(address => address >= 0n && address <= last && !isMapped(bits, address));
}

for (const bits of [32, 128] as const) {
    test(`the site of the longest matching prefix is the one that a linear search finds, ${bits}-bit addresses`, () => {
        fc.assert(
            fc.property(lookupCaseArbitrary(bits), ({ blocks: all, probes, maxBlocks }) => {
                const table = buildTable(all, maxBlocks);
                assert.equal(table.blockCount, all.length);
                for (const address of [...probes, ...boundaryAddresses(bits, all)]) {
                    const text = formatAddress(bits, address);
                    assert.equal(table.siteOf(text), naiveSiteOf(all, bits, address), text);
                }
            }),
            { numRuns: PROPERTY_RUNS, seed: SEED },
        );
    });
}

test("blocks match only addresses of their family, and IPv4-mapped addresses are looked up as IPv4", () => {
    const table = buildTable([
        { bits: 32, address: 0n, length: 0, site: "perth" },
        { bits: 128, address: 0x2001n << 112n, length: 16, site: "batumi" },
    ], 8);
    assert.equal(table.siteOf("203.0.113.9"), "perth");
    assert.equal(table.siteOf("::ffff:203.0.113.9"), "perth");
    assert.equal(table.siteOf("2001:db8::1"), "batumi");
    assert.equal(table.siteOf("2002::1"), undefined);
});

/** Returns the bytes of the address according to the URL parser of Node.js. */
function urlParserBytesOf(text: string): number[] {
    const { hostname } = new URL(`http://${text.includes(":") ? `[${text}]` : text}`);
    return ipaddr.process(hostname.replace(/[[\]]/g, "")).toByteArray();
}

test("an address in any notation is parsed as by the URL parser of Node.js", () => {
    fc.assert(
        fc.property(
            fc.oneof(fc.ipV4(), fc.ipV6(), addressArbitrary(128).map(address => formatAddress(128, address))),
            text => {
                const bytes = Buffer.from(urlParserBytesOf(text));
                const words = Array.from({ length: bytes.length / 4 }, (_, word) => bytes.readUInt32BE(word * 4));
                assert.deepEqual(parseAddress(text), words);
            },
        ),
        { numRuns: PROPERTY_RUNS, seed: SEED },
    );
    assert.deepEqual(parseAddress("FE80::1%eth0"), [0xfe800000, 0, 0, 1]);
});

test("of several blocks with the same prefix, the last one takes effect", () => {
    const list = new BlockList(1);
    for (let repetition = 0; repetition < 1_000; repetition++) {
        list.add([0], 8, repetition < 999 ? "perth" : "batumi");
    }
    assert.equal(new BlockTable([new BlockPart({ isWide: false, blocks: list })]).siteOf("0.1.2.3"), "batumi");
});

test("text that is not an address or a block in canonical form is rejected", () => {
    for (const text of ["", "1.2.3", "1.2.3.256", "0x7f.0.0.1", "01.2.3.4", "::g", "1.2.3.4/8", "host"]) {
        assert.equal(parseAddress(text), undefined, text);
    }
    for (
        const text of [
            "1.2.3.4",
            "1.2.3.4/",
            "1.2.3.4/33",
            "1.2.3.4/24",
            "::1/127",
            "::/129",
            "::/1/2",
            "::ffff:1.2.3.4/128",
        ]
    ) {
        assert.equal(parseBlock(text), undefined, text);
    }
});
