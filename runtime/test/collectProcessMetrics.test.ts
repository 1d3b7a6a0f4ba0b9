import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { test } from "node:test";
import { pathToFileURL } from "node:url";

const MEASURED_MS = 2_000;
const MAX_WAKEUPS_PER_SECOND = 20;

test("the metrics of an idle process seldom wake it, as many hosts share the processors of a machine", () => {
    const source = pathToFileURL(new URL("../src/collectProcessMetrics.ts", import.meta.url).pathname).href;
    const program = `
        const { readFileSync } = await import("node:fs");
        const { Registry } = await import("prom-client");
        const { collectProcessMetrics } = await import(${JSON.stringify(source)});
        const wakeups = () => Number(/^voluntary_ctxt_switches:\\s+(\\d+)/m.exec(
            readFileSync("/proc/self/status", "utf8"))[1]);
        collectProcessMetrics(new Registry());
        setTimeout(() => {
            const before = wakeups();
            setTimeout(() => console.log(wakeups() - before), ${MEASURED_MS});
        }, 500);`;
    const { stdout } = spawnSync(
        process.execPath,
        ["--import", "tsx", "--input-type=module", "--eval", program],
        { encoding: "utf8" },
    );
    const perSecond = Number(stdout) / MEASURED_MS * 1_000;
    assert.ok(stdout !== "" && perSecond <= MAX_WAKEUPS_PER_SECOND, `${perSecond} wakeups per second`);
});
