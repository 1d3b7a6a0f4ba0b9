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

const FILE_BYTES = 8 * 1024 * 1024;
const SERVERS = 4;
/** The last one gets a stated length, so that its client can tell that it ended early. */
const PATHS = ["/archive/without-length/a", "/archive/without-length/b", "/archive/with-length/c"];
const START_EVERY_MS = 300;
/** With pieces of 64 KB, a link of about 1 MB/s. */
const READ_EVERY_MS = 60;
const KILL_AFTER_MS = 1_500;
const isCalm = process.env["TROUBLE"] === "0";
const [folder = "."] = process.argv.slice(2);

/** Clients download files from one host, whose process is killed meanwhile. No answer that ends early may look complete. */
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
    record.add(`one gateway host is ready; ${SERVERS} servers have a file of ${FILE_BYTES} bytes`);
    const downloads = PATHS.map(async (path, index) => {
        await sleep(index * START_EVERY_MS);
        const id = `request-${index}`;
        record.add(`sent ${id}: GET ${path}`);
        const key = `key-of-tenant-${index}`;
        const got = await download({ address: gateway.addresses.callers, id, path, key, readEveryMs: READ_EVERY_MS });
        const length = got.statedBytes === undefined ? "no stated length" : `stated length ${got.statedBytes}`;
        const looksComplete = got.statedBytes === undefined
            ? got.end === "orderly"
            : got.bytes.length >= got.statedBytes;
        record.add(
            `answered ${id}: status ${got.status}, ${length}, ${got.bytes.length} bytes of body, channel ended ${got.end}; `
                + `it looks ${looksComplete ? "complete" : "broken off"}`,
        );
        const isWhole = got.bytes.equals(file);
        return { ...got, id, looksComplete, isWhole };
    });
    if (!isCalm) {
        await sleep(PATHS.length * START_EVERY_MS + KILL_AFTER_MS);
        gateway.kill();
        record.add("SIGKILL to the process of the gateway host");
    }
    const results = await Promise.all(downloads);
    servers.forEach(server => record.add(`ran at ${server.id}: ${server.ran.join(", ") || "nothing"}`));
    gateway.kill();
    await gateway.waitUntilEnded();
    servers.forEach(server => server.stop());
    store.stop();
    const wrong = results.filter(({ status, hasStamp, looksComplete, isWhole }) =>
        status === 200 && hasStamp && looksComplete && !isWhole
    );
    const whole = results.filter(({ isWhole }) => isWhole).length;
    if (isCalm && whole < results.length) {
        record.save(`the case could not run: ${whole} of ${results.length} answers are whole without the disruption`);
        return 2;
    }
    const ids = wrong.map(({ id }) => id).join(", ");
    record.save(
        wrong.length > 0
            ? `MIXED is broken: ${wrong.length} answers ended early and look complete (${ids})`
            : `MIXED held: no answer that ended early looks complete; ${whole} of ${results.length} are whole`,
    );
    return wrong.length > 0 ? 1 : 0;
}

runToExit(run);
