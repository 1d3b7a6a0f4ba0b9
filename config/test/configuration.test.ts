import { Configuration } from "@pistachioreel/config";
import assert from "node:assert/strict";
import { test } from "node:test";

const HEADER = "address,port,availability_zone,region,service,slots,connections,state,rack";
const ROW = "10.0.0.1,8080,a-1,a,web,4,360,live,r1";

function rulesFile(overrides: Record<string, unknown> = {}): string {
    return JSON.stringify(
        {
            deployment: "test",
            services: { web: {} },
            routes: [{ path: "/", methods: ["GET"], service: "web", idempotent: true }],
            workspaces: { one: { rate: 10, burst: 10 } },
            ...overrides,
        },
        undefined,
        4,
    );
}

function parseFiles(inventory: string, rules = rulesFile()) {
    return Configuration.fromFiles({ name: "i.csv", text: inventory }, { name: "r.jsonc", text: rules });
}

test("extra inventory columns are ignored", () => {
    const configuration = parseFiles(`${HEADER}\n${ROW}\n`)._unsafeUnwrap();
    assert.equal(configuration.targets[0]?.id, "10.0.0.1:8080");
});

test("all invalid fields of both files are reported at once, with position, value and accepted values", () => {
    const inventory = `${HEADER}\n${ROW}\nhost,99999,a-1,a,web,4,360,live,r1\n`;
    const rules = rulesFile({ workspaces: { one: { rate: -1, burst: 10 } }, typo: 1 });
    const messages = parseFiles(inventory, rules)._unsafeUnwrapErr().map(failure => failure.message);
    assert.ok(
        messages.some(message => message.includes('i.csv:3:1: address: found "host", accepted: an IPv4 or IPv6')),
    );
    assert.ok(messages.some(message => message.includes("i.csv:3:2: port")));
    assert.ok(messages.some(message => /r\.jsonc:\d+:\d+: workspaces\.one\.rate: found -1/.test(message)));
    assert.ok(messages.some(message => /r\.jsonc:\d+:\d+: typo: found 1/.test(message)));
});

test("a route to an unknown service is rejected", () => {
    const rules = rulesFile({ routes: [{ path: "/", methods: ["GET"], service: "wbe", idempotent: true }] });
    const [failure] = parseFiles(`${HEADER}\n${ROW}\n`, rules)._unsafeUnwrapErr();
    assert.equal(failure?.number, 1005);
});

test("the route with the longest path prefix is used, and a prefix matches only at a segment boundary", () => {
    const route = (path: string) => ({ path, methods: ["GET"], service: "web", idempotent: true });
    const rules = rulesFile({ routes: [route("/a"), route("/a/b"), route("/c")] });
    const configuration = parseFiles(`${HEADER}\n${ROW}\n`, rules)._unsafeUnwrap();
    assert.equal(configuration.findRoute("GET", "/a/b/c")?.path, "/a/b");
    assert.equal(configuration.findRoute("GET", "/a/bc")?.path, "/a");
    assert.equal(configuration.findRoute("GET", "/cd"), undefined);
    assert.equal(configuration.findRoute("POST", "/a"), undefined);
});
