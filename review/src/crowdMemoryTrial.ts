import { setTimeout as sleep } from "node:timers/promises";
import { StoreStandIn } from "../../platform/test/storeStandIn.js";
import { CrowdChannel } from "./crowdChannel.js";
import { crowdRequestHead } from "./crowdRequestHead.js";
import { runToExit } from "./runToExit.js";
import { TrialChild } from "./trialChild.js";
import { trialDesiredState } from "./trialDocuments.js";
import { MACHINE_MEMORY_MB, TrialGateway } from "./trialGateway.js";
import { TrialRecord } from "./trialRecord.js";
import { trialServerEntry } from "./trialServerEntry.js";

const SERVERS = 12;
const DURATION_MS = 20_000;
const SAMPLE_EVERY_MS = 20;
const UPLOADING_CLIENTS = 20;
const UPLOAD_BYTES = 8_000_000;
const READING_CLIENTS = 40;
const COOKIE_BYTES = 15_000;
const ORDINARY_EVERY_MS = 100;
const isCalm = process.env["TROUBLE"] === "0";
const [folder = "."] = process.argv.slice(2);

/** Sends ordinary requests until the trial ends, and counts their outcomes. */
async function callOrdinarily(address: string, outcomes: Record<string, number>, isOver: () => boolean): Promise<void> {
    for (let sent = 1; !isOver(); sent++) {
        const channel = new CrowdChannel({ address });
        const id = `ordinary-${sent}`;
        const head = crowdRequestHead({ method: "GET", path: "/schedule/x", id, tenant: 0, deadlineMs: 2_000 });
        const outcome = await channel.send(head);
        outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
        channel.close();
        await sleep(ORDINARY_EVERY_MS);
    }
}

/** Clients inside the limits send large bodies and long cookies to one host. Its process must stay within the memory of its machine. */
async function run(): Promise<number> {
    const record = new TrialRecord(folder);
    const store = new StoreStandIn();
    const storeAddress = await store.start();
    store.put("config", "main", trialDesiredState());
    const servers = new TrialChild("pacedServersProgram", [String(2 * SERVERS)]);
    for (const [index, address] of (await servers.waitForLine()).split(" ").entries()) {
        const service = index < SERVERS ? "visit-planner" : "deed-vault";
        const zone = index % 2 === 0 ? "tbs-a" : "tbs-b";
        store.put("servers", `i-${index}`, trialServerEntry({ address, service, zone, slots: 6 }));
    }
    const gateway = await TrialGateway.start({ hostId: "front-tbs-a-1", zone: "tbs-a", store: storeAddress });
    const { callers } = gateway.addresses;
    record.add(`one gateway host is ready; its machine has ${MACHINE_MEMORY_MB} MB`);
    const crowds = isCalm ? [] : [
        new TrialChild("uploadCrowdProgram", [callers, String(UPLOADING_CLIENTS), String(UPLOAD_BYTES)]),
        new TrialChild("cookieCrowdProgram", [callers, String(READING_CLIENTS), String(COOKIE_BYTES)]),
    ];
    const outcomes: Record<string, number> = {};
    let isOver = false;
    const ordinary = callOrdinarily(callers, outcomes, () => isOver);
    const most = { resident: 0, anonymous: 0 };
    let samplesAbove = 0;
    let firstAbove: string | undefined;
    const startedAt = performance.now();
    for (let samples = 1; performance.now() - startedAt < DURATION_MS && !gateway.hasEnded; samples++) {
        const { residentMb, anonymousMb } = gateway;
        most.resident = Math.max(most.resident, residentMb);
        most.anonymous = Math.max(most.anonymous, anonymousMb);
        // Only what no file backs counts here, as the rest could be dropped.
        if (anonymousMb > MACHINE_MEMORY_MB) {
            samplesAbove++;
            firstAbove ??= `${((performance.now() - startedAt) / 1_000).toFixed(1)} s after the start of the traffic`;
        }
        if (samples % 50 === 0) {
            record.add(`resident ${residentMb.toFixed(0)} MB, of which no file backs ${anonymousMb.toFixed(0)} MB`);
        }
        await sleep(SAMPLE_EVERY_MS);
    }
    const hasEnded = gateway.hasEnded;
    isOver = true;
    crowds.forEach(crowd => crowd.end());
    await Promise.race([ordinary, sleep(3_000)]);
    record.add(`uploads of ${UPLOAD_BYTES} bytes by ${UPLOADING_CLIENTS} clients: ${crowds[0]?.lastLine ?? "none"}`);
    record.add(
        `reads with cookies of ${COOKIE_BYTES} bytes by ${READING_CLIENTS} clients: ${crowds[1]?.lastLine ?? "none"}`,
    );
    record.add(`ordinary reads: ${JSON.stringify(outcomes)}`);
    record.add(`most memory: resident ${most.resident.toFixed(0)} MB, no file backs ${most.anonymous.toFixed(0)} MB`);
    gateway.kill();
    servers.end();
    store.stop();
    if (hasEnded) {
        record.save("Fault is broken: the process has ended by itself");
        return 1;
    }
    if (isCalm && outcomes["200"] === undefined) {
        record.save("the case could not run: no ordinary read was answered");
        return 2;
    }
    record.save(
        samplesAbove > 0
            ? `Fault is broken: over ${MACHINE_MEMORY_MB} MB in ${samplesAbove} samples, first ${firstAbove}`
            : `Fault held: never over ${MACHINE_MEMORY_MB} MB`,
    );
    return samplesAbove > 0 ? 1 : 0;
}

runToExit(run);
