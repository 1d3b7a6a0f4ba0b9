import { setTimeout as sleep } from "node:timers/promises";
import { StoreStandIn } from "../../platform/test/storeStandIn.js";
import { BrokenOffServer } from "./brokenOffServer.js";
import { download } from "./downloadClient.js";
import { runToExit } from "./runToExit.js";
import { trialDesiredState } from "./trialDocuments.js";
import { TrialGateway } from "./trialGateway.js";
import { TrialRecord } from "./trialRecord.js";
import { trialServerEntry } from "./trialServerEntry.js";

const SERVERS = 12;
/** Of `kinds`: share (.5) break off x (.02) of their answers. The site has 5.5 s for it. */
const BREAKING_SHARE = 0.5;
const BREAKING_EVERY = 50;
const BREAKING_FROM_MS = 5_000;
const BREAKING_FOR_MS = 5_500;
const BODY = Buffer.alloc(4_000, "The deed of a house, page by page. ");
const REQUESTS_PER_SECOND = 200;
/** The number of things of `archive-read` on the site. */
const OBJECTS = 24;
const DURATION_MS = 15_000;
const isCalm = process.env["TROUBLE"] === "0";
const [folder = "."] = process.argv.slice(2);

/** Some servers reset a few of their answers, which have no length. No such answer may look complete to a client. */
async function run(): Promise<number> {
    const record = new TrialRecord(folder);
    const store = new StoreStandIn();
    const storeAddress = await store.start();
    store.put("config", "main", trialDesiredState());
    let isBreaking = false;
    let answers = 0;
    const servers = Array.from({ length: SERVERS }, (_, index) => {
        const shouldBreakOff = () => isBreaking && index < SERVERS * BREAKING_SHARE && ++answers % BREAKING_EVERY === 0;
        return new BrokenOffServer(`i-${index}`, { body: BODY, shouldBreakOff });
    });
    for (const [index, server] of servers.entries()) {
        const zone = index % 2 === 0 ? "tbs-a" : "tbs-b";
        const address = await server.start();
        store.put("servers", server.id, trialServerEntry({ address, service: "deed-vault", zone, slots: 6 }));
    }
    const gateway = await TrialGateway.start({ hostId: "front-tbs-a-1", zone: "tbs-a", store: storeAddress });
    record.add(`one gateway host and ${SERVERS} servers are ready; each answer has ${BODY.length} bytes and no length`);
    const outcomes: Record<string, number> = {};
    const wrong: string[] = [];
    const call = async (index: number) => {
        const id = `request-${index}`;
        const key = `key-of-tenant-${index % 8}`;
        const object = String(index % OBJECTS);
        const path = `/archive/${id}`;
        const got = await download({ address: gateway.addresses.callers, id, path, key, object, readEveryMs: 0 });
        const isSuccess = got.status === 200 && got.hasStamp;
        const looksComplete = got.statedBytes === undefined
            ? got.end === "orderly"
            : got.bytes.length >= got.statedBytes;
        const isWhole = got.bytes.equals(BODY);
        const outcome = isSuccess
            ? isWhole ? "whole" : looksComplete ? "early, looks complete" : "early"
            : `${got.status}`;
        outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
        if (isSuccess && looksComplete && !isWhole) {
            wrong.push(id);
            record.add(`answered ${id}: 200 with the server's stamp, ${got.bytes.length} bytes, orderly end`);
        }
    };
    const calls: Promise<void>[] = [];
    const startedAt = performance.now();
    for (let elapsedMs = 0; elapsedMs < DURATION_MS; elapsedMs = performance.now() - startedAt) {
        const isInWindow = elapsedMs >= BREAKING_FROM_MS && elapsedMs < BREAKING_FROM_MS + BREAKING_FOR_MS;
        if (isInWindow !== isBreaking && !isCalm) {
            isBreaking = isInWindow;
            record.add(isBreaking ? "half of the servers reset one of 50 answers from now on" : "no more resets");
        }
        while (calls.length < elapsedMs * REQUESTS_PER_SECOND / 1_000) {
            calls.push(call(calls.length));
        }
        await sleep(5);
    }
    await Promise.all(calls);
    gateway.kill();
    await gateway.waitUntilEnded();
    servers.forEach(server => server.stop());
    store.stop();
    for (const { id, ran, brokenOff } of servers) {
        record.add(
            `${id} ran ${ran.length} requests and reset ${brokenOff.size} answers: ${[...brokenOff].join(", ")}`,
        );
    }
    record.add(`sent ${calls.length} requests; outcomes: ${JSON.stringify(outcomes)}`);
    const resets = servers.reduce((sum, { brokenOff }) => sum + brokenOff.size, 0);
    if ((outcomes["whole"] ?? 0) < calls.length / 2 || !isCalm && resets === 0) {
        record.save("the case could not run: too few answers");
        return 2;
    }
    record.save(
        wrong.length > 0
            ? `MIXED is broken: ${wrong.length} of ${resets} answers that were reset look complete`
            : `MIXED held: none of ${resets} answers that were reset looks complete`,
    );
    return wrong.length > 0 ? 1 : 0;
}

runToExit(run);
