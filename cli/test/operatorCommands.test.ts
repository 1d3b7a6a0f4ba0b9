import { Caller, Fleet } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { after, before, test } from "node:test";

const RULES = {
    deployment: "test",
    services: { web: {} },
    routes: [{ path: "/", methods: ["GET"], service: "web", idempotent: true }],
    workspaces: { one: { rate: 100, burst: 100 } },
};
const LOCATION = { availabilityZone: "a-1", region: "a" };
let fleet: Fleet;

before(async () => {
    fleet = await Fleet.start({
        hosts: [LOCATION, LOCATION],
        targets: network => [{ ...LOCATION, address: network.address(2, 0), port: 8080, service: "web", slots: 4 }],
        rules: JSON.stringify(RULES),
    });
});

after(() => fleet?.stop());

interface CommandResult {
    readonly exitCode: number;
    readonly stdout: string;
    readonly stderr: string;
}

function run(...args: string[]): Promise<CommandResult> {
    return runWithEnvironment(fleet.operatorEnvironment, ...args);
}

function runWithEnvironment(environment: Record<string, string>, ...args: string[]): Promise<CommandResult> {
    const env = { ...process.env, ...environment };
    return new Promise(resolve => {
        execFile(process.execPath, ["dist/pistachioreel.cjs", ...args], { env }, (error, stdout, stderr) => {
            resolve({ exitCode: typeof error?.code === "number" ? error.code : 0, stdout, stderr });
        });
    });
}

function writeRules(rate: number): string[] {
    const file = join(fleet.directory, `rules-${rate}.jsonc`);
    writeFileSync(file, JSON.stringify({ ...RULES, workspaces: { one: { rate, burst: 100 } } }));
    return ["--inventory", join(fleet.directory, "inventory.csv"), "--rules", file, "--store", fleet.storeUrl];
}

test("applying the same files again changes nothing", async () => {
    const first = await run("apply", ...writeRules(100), "--json");
    const { version } = JSON.parse(first.stdout) as { version: number; };
    assert.match((await run("apply", ...writeRules(100))).stdout, new RegExp(`unchanged: version ${version}`));
});

test("diff shows what apply changes, and apply waits until all hosts have it in force", async () => {
    const args = writeRules(120);
    assert.match((await run("diff", ...args)).stdout, /~ workspaces\.one\.rate: 100 -> 120/);
    assert.match((await run("apply", ...args)).stdout, /accepted: version \d+\nin force on 2 hosts/);
    assert.match((await run("diff", ...args)).stdout, /no change/);
});

test("apply based on an older version fails, shows the difference and changes nothing", async () => {
    const { stdout } = await run("apply", ...writeRules(130), "--json");
    const { version } = JSON.parse(stdout) as { version: number; };
    const conflicting = await run("apply", ...writeRules(140), "--based-on", String(version - 1));
    assert.equal(conflicting.exitCode, 1);
    assert.match(conflicting.stderr, /PR2002 .*\n~ workspaces\.one\.rate: 130 -> 140/);
    assert.match((await run("diff", ...writeRules(130))).stdout, /no change/);
});

test("of three applies at the same time, at least one succeeds and the others fail with a conflict", async () => {
    const results = await Promise.all([150, 160, 170].map(rate => run("apply", ...writeRules(rate))));
    const succeeded = results.filter(({ exitCode }) => exitCode === 0);
    assert.ok(succeeded.length >= 1);
    results.filter(({ exitCode }) => exitCode !== 0).forEach(({ stderr }) => assert.match(stderr, /PR2002/));
});

test("apply whose store response is lost succeeds or fails with PR2001 or PR2009, and can be repeated", async () => {
    await fleet.setStoreFault({ mode: "lose-reply" });
    const { exitCode, stdout, stderr } = await run("apply", ...writeRules(180), "--wait", "1");
    await fleet.setStoreFault({ mode: "none" });
    // Writes of parts lose their response too and are reported as failed or unknown; repeating apply is safe.
    assert.ok(exitCode === 0 || /PR200[19]/.test(stderr), stdout + stderr);
    assert.equal((await run("apply", ...writeRules(180))).exitCode, 0);
    assert.match((await run("diff", ...writeRules(180))).stdout, /no change/);
});

test("apply fails with PR2001 while the store is down", async () => {
    await fleet.setStoreFault({ mode: "down" });
    const { exitCode, stderr } = await run("apply", ...writeRules(190));
    await fleet.setStoreFault({ mode: "none" });
    assert.equal(exitCode, 1);
    assert.match(stderr, /PR2001/);
});

test("status, lookup and timeline cover all hosts", async () => {
    const status = JSON.parse(await fleet.runOperatorCommand("status", "--json")) as {
        answer?: { ready: boolean; };
    }[];
    assert.deepEqual(status.map(({ answer }) => answer?.ready), [true, true]);
    const { hosts } = JSON.parse((await run("lookup", "--host", fleet.callersAddressOf(0), "--json")).stdout) as {
        hosts: string[];
    };
    assert.equal(hosts.length, 2);
    assert.match(await fleet.runOperatorCommand("timeline"), /document-in-force/);
});

test("the timeline shows why a request was refused, and contains no key", async () => {
    const caller = new Caller();
    const wrongKey = `prk_${"y".repeat(43)}`;
    await caller.send({ host: fleet.callersAddressOf(1), path: "/x", marker: "m", key: wrongKey });
    await caller.close();
    const page = join(fleet.directory, "timeline.html");
    await fleet.runOperatorCommand("timeline", "--html", page, "--host", "host-1");
    const html = readFileSync(page, "utf8");
    assert.match(html, /request-refused.*reason=keyRejected/);
    assert.ok(!html.includes(wrongKey));
});

test("a drain is put in force on all hosts, repeating it is harmless, and a return removes it", async () => {
    await fleet.runOperatorCommand("drain", "start", "zone", "a-1", "--finish-in", "600");
    assert.match(await fleet.runOperatorCommand("drain", "start", "zone", "a-1"), /in force on 2 hosts/);
    assert.match(await fleet.runOperatorCommand("drain", "list"), /^drain zone a-1, started [^,\n]+$/);
    assert.match(await fleet.runOperatorCommand("drain", "return", "zone", "a-1"), /^no drains\nin force on 2 hosts/);
});

test("apply is denied without the operator's token, also with the token of a host", async () => {
    const hostToken = fleet.settings[0]?.store.token ?? "";
    const environments: Record<string, string>[] = [{}, { PISTACHIOREEL_STORE_TOKEN: hostToken }];
    for (const environment of environments) {
        const { exitCode, stderr } = await runWithEnvironment(environment, "apply", ...writeRules(200));
        assert.equal(exitCode, 1);
        assert.match(stderr, /PR2010/);
    }
    assert.match((await run("diff", ...writeRules(200))).stdout, /-> 200/);
});

test("an unknown flag exits with 2 and is named", async () => {
    const { exitCode, stderr } = await run("apply", "--inventroy", "x");
    assert.equal(exitCode, 2);
    assert.match(stderr, /PR1007 apply: unknown flag --inventroy/);
});
