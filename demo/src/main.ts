// Runs the example deployments. In each, kills a target and stops an entry host while callers send requests, and then
// checks the records of callers and targets. Exits with 1 if a guarantee was violated or no request was complete.
import { checkRecords, type Fleet } from "@pistachioreel/testing";
import { setTimeout as sleep } from "node:timers/promises";
import type { Deployment } from "./deployment.js";
import { deployments } from "./deployments.js";
import { startDeployment } from "./startDeployment.js";
import { TrafficGenerator } from "./trafficGenerator.js";

const DURATION_MS = 10_000;
const PROGRESS_INTERVAL_MS = 1_000;
const KILL_TARGET_AFTER_MS = 3_000;
const STOP_HOST_AFTER_MS = 5_000;
const SETTLE_MS = 500;
const KILLED_TARGET_INDEX = 5;
const STOPPED_HOST_INDEX = 3;

type Check = ReturnType<typeof checkRecords>;

async function main(): Promise<void> {
    const checks: Check[] = [];
    for (const deployment of deployments) {
        checks.push(await runDeployment(deployment));
    }
    const sum = (field: keyof Check) => checks.reduce((total, check) => total + check[field], 0);
    print(
        `requests=${sum("requests")} complete=${sum("complete")} refused_not_run=${sum("refusedNotRun")} ` +
            `unknown=${sum("unknown")} duplicated=${sum("duplicated")} lost=${sum("lost")}`,
    );
    const faults = sum("duplicated") + sum("lost") + sum("wrongResponse") + sum("falseNotRun") + sum("leakedKeys");
    if (faults > 0 || sum("complete") === 0) {
        print(
            `wrong_answer=${sum("wrongResponse")} false_not_run=${sum("falseNotRun")} leaked_keys=${sum("leakedKeys")}`,
        );
        process.exitCode = 1;
    }
}

async function runDeployment(deployment: Deployment): Promise<Check> {
    print(`${deployment.name}: starting the store, 36 targets and 10 entry hosts`);
    const fleet = await startDeployment(deployment);
    try {
        const keys = new Map<string, string>();
        for (const workspace of deployment.workspaces) {
            keys.set(workspace, (await fleet.issueKey(workspace)).key);
        }
        await sleep(SETTLE_MS);
        const traffic = new TrafficGenerator({ fleet, deployment, keys, durationMs: DURATION_MS });
        const progress = setInterval(() => printProgress(deployment.name, traffic), PROGRESS_INTERVAL_MS);
        await Promise.all([traffic.run(), injectFaults(fleet)]);
        clearInterval(progress);
        await sleep(SETTLE_MS);
        return checkRecords(traffic.records, fleet.records(), [...keys.values()]);
    }
    finally {
        await fleet.stop();
    }
}

async function injectFaults(fleet: Fleet): Promise<void> {
    await sleep(KILL_TARGET_AFTER_MS);
    const [id, target] = [...fleet.targets][KILLED_TARGET_INDEX] ?? [];
    await target?.end("SIGKILL");
    print(`killed target ${id}`);
    await sleep(STOP_HOST_AFTER_MS - KILL_TARGET_AFTER_MS);
    await fleet.publishHosts(index => index !== STOPPED_HOST_INDEX);
    const exitCode = await fleet.hosts[STOPPED_HOST_INDEX]?.end("SIGTERM");
    print(`stopped host ${STOPPED_HOST_INDEX}, exit code ${exitCode}`);
}

function printProgress(name: string, { records }: TrafficGenerator): void {
    const complete = records.filter(record => record.outcome === "complete").length;
    print(`${name}: requests=${records.length} complete=${complete}`);
}

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}

await main();
