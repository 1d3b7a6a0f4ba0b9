import { parseBlockMap } from "@pistachioreel/config";
import assert from "node:assert/strict";
import { test } from "node:test";

function failuresOf(text: string, sites?: string[]): string[] {
    return parseBlockMap("m.csv", text, { sites })._unsafeUnwrapErr().map(({ number, message }) =>
        `${number} ${message}`
    );
}

test("blocks of both address families are parsed with rows and columns in any order", () => {
    const text = "owner,site,block\nx,perth,2001:db8::/32\nx,perth,10.0.0.0/8\nx,tbilisi,9.0.0.0/8\n";
    const { ipv4, ipv6 } = parseBlockMap("m.csv", text)._unsafeUnwrap();
    assert.deepEqual([ipv4.size, ipv6.size], [2, 1]);
    assert.equal(ipv4.sites[ipv4.siteIndexAt(0)], "tbilisi", "sorted by start");
});

test("all invalid rows of a map are reported with position, value and accepted values", () => {
    const failures = failuresOf(
        "block,site\n10.0.0.0/8,perth\n10.0.0.1/8,perth\n300.0.0.0/8,perth\n11.0.0.0/8,prth\n12.0.0.0/8,\n10.0.0.0/8,perth\n",
        ["perth"],
    );
    assert.equal(failures.length, 5);
    assert.match(failures[0] as string, /^1003 m\.csv:3:1: block: found "10\.0\.0\.1\/8", accepted: an IPv4 or IPv6/);
    assert.match(failures[1] as string, /^1003 m\.csv:4:1: block/);
    assert.match(failures[2] as string, /^1005 m\.csv:5:2: site: found "prth"/);
    assert.match(failures[3] as string, /^1003 m\.csv:6:2: site/);
    assert.match(failures[4] as string, /^1006 m\.csv:7:1: block: found the block of line 2 again/);
});

test("a missing column or invalid CSV is reported, and at most 100 failures of an invalid file", () => {
    assert.match(failuresOf("cidr,site\n")[0] as string, /^1004 m\.csv:1:1: block: found the columns cidr, site/);
    assert.match(failuresOf("block,site\n10.0.0.0/8\n")[0] as string, /^1002 m\.csv:2/);
    assert.equal(failuresOf(`block,site\n${"x,perth\n".repeat(1_000)}`).length, 100);
});
