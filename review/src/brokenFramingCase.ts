import { Deployment } from "./deployment.js";
import type { RunRequest } from "./reviewServer.js";
import { runCase } from "./runCase.js";
import { SpoiledAnswers } from "./spoiledAnswers.js";
import { type Exchange, steadyLoad } from "./steadyLoad.js";

// Servers spoil one byte of the framing of some answers: first the size of a chunk, then the length of a body. No client may get
// a success without the whole body, and the hosts must go on answering.

const HOSTS = 3;
const SERVERS = 6;
const CHUNKING_SERVICE = "visit-planner";
const DURATION_MS = 45_000;
/** Figures of `garble` on the site, which may come more than once. */
const TROUBLE_MS = 5_500;
const TROUBLE_SHARE = 0.35;
const SPOILED_SHARE = 0.02;
const CHUNK_TROUBLE_AT_MS = [3_000, 10_000, 17_000];
const LENGTH_TROUBLE_AT_MS = [24_000, 31_000];
const BODY_BYTES = 1_742;
/** Time budget of the clients, which is longer than the timeouts of their routes. */
const TIME_LEFT_MS = 4_000;
const TIMEOUTS_MS: Readonly<Record<string, number>> = { "/schedule/x": 2_000, "/sign/x": 2_500 };
/** The rule counts from eight requests. */
const MIN_LATE = 8;
const LATE_MS = 500;

function bodyOf({ id }: { readonly id: string; }): Buffer {
    return Buffer.alloc(BODY_BYTES, `${id};`);
}

/** Whether a client got a success whose body is complete in the protocol, but not the server's. */
function isWrong({ status, isComplete, id, body }: Exchange): boolean {
    return status === 200 && isComplete && !body.equals(bodyOf({ id }));
}

/** Whether a request had no answer that long after its route's timeout. */
function isUnanswered({ path, endedAt, sentAt, status }: Exchange, lateMs: number): boolean {
    return endedAt - sentAt > TIMEOUTS_MS[path]! + lateMs || status === undefined;
}

/** Ids of the servers of a service that are in trouble. */
function serversInTrouble(service: string): Set<string> {
    return new Set(Array.from({ length: Math.floor(SERVERS * TROUBLE_SHARE) }, (_, index) => `i-${service}-${index}`));
}

void runCase(async ({ record, hasTrouble }) => {
    const chunks = new SpoiledAnswers({
        servers: serversInTrouble(CHUNKING_SERVICE),
        share: SPOILED_SHARE,
        place: "chunkSize",
        byte: "q",
        record,
    });
    const lengths = new SpoiledAnswers({
        servers: serversInTrouble("attest-core"),
        share: SPOILED_SHARE,
        place: "length",
        byte: "-",
        record,
    });
    const isChunking = ({ server }: RunRequest) => server.startsWith(`i-${CHUNKING_SERVICE}-`);
    const deployment = await Deployment.start({
        hosts: HOSTS,
        servers: [CHUNKING_SERVICE, "attest-core"].map(service => ({ service, count: SERVERS, slots: 6, workMs: 100 })),
        bodyOf,
        interfere: (run, ...answer) => (isChunking(run) ? chunks : lengths).interfere(run, ...answer),
    });
    if (hasTrouble) {
        CHUNK_TROUBLE_AT_MS.forEach(at => setTimeout(() => chunks.start(TROUBLE_MS), at));
        LENGTH_TROUBLE_AT_MS.forEach(at => setTimeout(() => lengths.start(TROUBLE_MS), at));
    }
    const exchanges = await steadyLoad({
        hosts: deployment.hosts,
        kinds: [
            { path: "/schedule/x", perSecond: 30, timeLeftMs: TIME_LEFT_MS },
            { path: "/sign/x", method: "POST", bodyBytes: 4_000, perSecond: 20, timeLeftMs: TIME_LEFT_MS },
        ],
        durationMs: DURATION_MS,
        record,
    });
    const ready = await Promise.all(deployment.hosts.map(host => host.isReady()));
    deployment.runs.forEach(({ id, server }) => record.add("ran", { id, server }));
    deployment.hosts.forEach(({ hostId, ends, processorMs }, index) => {
        record.add("host", { host: hostId, ready: ready[index], ended: ends.length > 0, processorMs });
    });
    await deployment.stop();
    const atTimeout = exchanges.filter(exchange => isUnanswered(exchange, 0)).length;
    const late = exchanges.filter(exchange => isUnanswered(exchange, LATE_MS)).length;
    const wrong = exchanges.filter(isWrong);
    for (const { id, status, headers, body: { length } } of wrong) {
        record.add("MIXED", {
            id,
            status,
            stamp: headers["x-server-stamp"]?.toString(),
            bytes: length,
            of: BODY_BYTES,
        });
    }
    return {
        isBroken: wrong.length > 0 || late >= MIN_LATE && late > atTimeout / 2,
        summary:
            `CONFIG: of ${atTimeout} requests without an answer at their route's timeout, ${late} had none half a second`
            + ` later; ${ready.filter(isReady => !isReady).length} of ${HOSTS} hosts no longer answer /ready, after`
            + ` ${lengths.ids.size} spoiled lengths. MIXED: ${wrong.length} successes do not have the server's whole body, after`
            + ` ${chunks.ids.size} spoiled sizes of chunks. ${exchanges.length} requests sent`,
    };
});
