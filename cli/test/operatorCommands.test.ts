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
const PLACE = { availabilityZone: "a-1", region: "a" };
let fleet: Fleet;

before(async () => {
    fleet = await Fleet.start({
        hosts: [PLACE, PLACE],
        targets: network => [{ ...PLACE, address: network.address(2, 0), port: 8080, service: "web", slots: 4 }],
        rules: JSON.stringify(RULES),
    });
});

after(() => fleet?.stop());

interface Outcome {
    readonly exitCode: number;
    readonly stdout: string;
    readonly stderr: string;
}

function run(...args: string[]): Promise<Outcome> {
    return runAs(fleet.operatorEnvironment, ...args);
}

function runAs(environment: Record<string, string>, ...args: string[]): Promise<Outcome> {
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

test("the loser of a race gets a conflict with the difference, and nothing changes", async () => {
    const { stdout } = await run("apply", ...writeRules(130), "--json");
    const { version } = JSON.parse(stdout) as { version: number; };
    const loser = await run("apply", ...writeRules(140), "--based-on", String(version - 1));
    assert.equal(loser.exitCode, 1);
    assert.match(loser.stderr, /PR2002 .*\n~ workspaces\.one\.rate: 130 -> 140/);
    assert.match((await run("diff", ...writeRules(130))).stdout, /no change/);
});

test("two operators who apply at the same time: at least one wins and each loser is told", async () => {
    const outcomes = await Promise.all([150, 160, 170].map(rate => run("apply", ...writeRules(rate))));
    const winners = outcomes.filter(({ exitCode }) => exitCode === 0);
    assert.ok(winners.length >= 1);
    outcomes.filter(({ exitCode }) => exitCode !== 0).forEach(({ stderr }) => assert.match(stderr, /PR2002/));
});

test("an apply whose store reply is lost finds out that it took effect", async () => {
    await fleet.setStoreFault({ mode: "lose-reply" });
    const { exitCode, stdout, stderr } = await run("apply", ...writeRules(180), "--wait", "1");
    await fleet.setStoreFault({ mode: "none" });
    // Writes of parts get no reply either and are reported as such; a repeated apply is harmless.
    assert.ok(exitCode === 0 || /PR200[19]/.test(stderr), stdout + stderr);
    assert.equal((await run("apply", ...writeRules(180))).exitCode, 0);
    assert.match((await run("diff", ...writeRules(180))).stdout, /no change/);
});

test("apply with the store down fails and says so", async () => {
    await fleet.setStoreFault({ mode: "down" });
    const { exitCode, stderr } = await run("apply", ...writeRules(190));
    await fleet.setStoreFault({ mode: "none" });
    assert.equal(exitCode, 1);
    assert.match(stderr, /PR2001/);
});

test("status, lookup and timeline answer for all hosts", async () => {
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

test("the time line tells why a request was refused, and holds no key", async () => {
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

test("nobody changes anything without the operator's token, and a host's token does not do", async () => {
    const hostToken = fleet.settings[0]?.store.token ?? "";
    const environments: Record<string, string>[] = [{}, { PISTACHIOREEL_STORE_TOKEN: hostToken }];
    for (const environment of environments) {
        const { exitCode, stderr } = await runAs(environment, "apply", ...writeRules(200));
        assert.equal(exitCode, 1);
        assert.match(stderr, /PR2010/);
    }
    assert.match((await run("diff", ...writeRules(200))).stdout, /-> 200/);
});

test("wrong usage exits with 2 and names the flag", async () => {
    const { exitCode, stderr } = await run("apply", "--inventroy", "x");
    assert.equal(exitCode, 2);
    assert.match(stderr, /PR1007 apply: unknown flag --inventroy/);
});
