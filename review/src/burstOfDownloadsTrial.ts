import { randomBytes } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { StoreStandIn } from "../../platform/test/storeStandIn.js";
import { ArchiveServer } from "./archiveServer.js";
import { download } from "./downloadClient.js";
import { runToExit } from "./runToExit.js";
import { trialDesiredState } from "./trialDocuments.js";
import { TrialGateway } from "./trialGateway.js";
import { TrialRecord } from "./trialRecord.js";
import { trialServerEntry } from "./trialServerEntry.js";

const FILE_BYTES = 6_000_000;
const SERVERS = 12;
/** With pieces of 64 KB, a link of about 12 Mbit/s. */
const READ_EVERY_MS = 40;
const DOWNLOADS_PER_SECOND = 2;
const DURATION_MS = 24_000;
/** The largest burst of the site: x = 1.8, for_s = 3.1. */
const BURST_FACTOR = 1.8;
const BURST_FROM_MS = 8_000;
const BURST_FOR_MS = 3_100;
/** LOST counts from the fourth on. */
const ALLOWED = 3;
const isCalm = process.env["TROUBLE"] === "0";
const [folder = "."] = process.argv.slice(2);

/** Clients download files on kept channels; for a few seconds there are more of them. No channel may be closed without its answer. */
async function run(): Promise<number> {
    const record = new TrialRecord(folder);
    const file = randomBytes(FILE_BYTES);
    const store = new StoreStandIn();
    const storeAddress = await store.start();
    store.put("config", "main", trialDesiredState());
    const servers = Array.from({ length: SERVERS }, (_, index) => new ArchiveServer(`i-${index}`, file));
    for (const [index, server] of servers.entries()) {
        const zone = index % 2 === 0 ? "tbs-a" : "tbs-b";
        const address = await server.start();
        store.put("servers", server.id, trialServerEntry({ address, service: "deed-vault", zone, slots: 6 }));
    }
    const gateway = await TrialGateway.start({ hostId: "front-tbs-a-1", zone: "tbs-a", store: storeAddress });
    record.add(`one gateway host and ${SERVERS} servers are ready; the file has ${FILE_BYTES} bytes`);
    const outcomes: Record<string, number> = {};
    const lost: string[] = [];
    const fetchFile = async (index: number) => {
        const id = `request-${index}`;
        const key = `key-of-tenant-${index % 8}`;
        const { callers: address } = gateway.addresses;
        const path = `/archive/with-length/${id}`;
        const object = String(index % 24);
        record.add(`sent ${id}`);
        const got = await download({ address, id, path, key, object, readEveryMs: READ_EVERY_MS, isKept: true });
        const isWhole = got.bytes.equals(file);
        const isCut = got.status === undefined || got.bytes.length < (got.statedBytes ?? 0);
        const outcome = isWhole ? "whole" : isCut ? "closed before its end" : `status ${got.status}`;
        outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
        record.add(`${id}: ${outcome}, status ${got.status}, ${got.bytes.length} of ${got.statedBytes} bytes`);
        if (isCut) {
            lost.push(id);
        }
    };
    const downloads: Promise<void>[] = [];
    const startedAt = performance.now();
    for (let elapsedMs = 0; elapsedMs < DURATION_MS; elapsedMs = performance.now() - startedAt) {
        const isBurst = !isCalm && elapsedMs >= BURST_FROM_MS && elapsedMs < BURST_FROM_MS + BURST_FOR_MS;
        downloads.push(fetchFile(downloads.length));
        await sleep(1_000 / (DOWNLOADS_PER_SECOND * (isBurst ? BURST_FACTOR : 1)));
    }
    await Promise.all(downloads);
    const hasEnded = gateway.hasEnded;
    gateway.kill();
    await gateway.waitUntilEnded();
    servers.forEach(server => server.stop());
    store.stop();
    const ran = new Set(servers.flatMap(server => server.ran));
    const lostAfterPassing = lost.filter(id => ran.has(id));
    servers.forEach(server => record.add(`ran at ${server.id}: ${server.ran.join(", ") || "nothing"}`));
    record.add(`${downloads.length} downloads: ${JSON.stringify(outcomes)}${hasEnded ? "; the host has ended" : ""}`);
    if ((outcomes["whole"] ?? 0) < downloads.length / 2) {
        record.save("the case could not run: too few whole answers");
        return 2;
    }
    const isBroken = lostAfterPassing.length > ALLOWED;
    record.save(
        `LOST ${
            isBroken ? "is broken" : "held"
        }: ${lostAfterPassing.length} requests were passed on and their kept channels `
            + `closed before the end of the answer (more than ${ALLOWED} break the rule)`,
    );
    return isBroken ? 1 : 0;
}

runToExit(run);
