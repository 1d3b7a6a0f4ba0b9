import { Deployment } from "./deployment.js";
import { runCase } from "./runCase.js";
import { SpoiledAnswers } from "./spoiledAnswers.js";
import { type Exchange, steadyLoad } from "./steadyLoad.js";

// Servers spoil one byte of the length of some answers. The hosts must go on answering.

const SERVERS = 6;
const DURATION_MS = 30_000;
const TROUBLE_AT_MS = [3_000, 10_000];
/** Figures of `garble` on the site, which may come more than once. */
const TROUBLE_MS = 5_500;
const TROUBLE_SHARE = 0.35;
const SPOILED_SHARE = 0.02;
const BODY_BYTES = 1_742;
/** Time budget of the clients, which is longer than the timeouts of their routes. */
const TIME_LEFT_MS = 4_000;
const TIMEOUTS_MS: Readonly<Record<string, number>> = { "/schedule/x": 2_000, "/sign/x": 2_500 };
/** The rule counts from eight requests. */
const MIN_LATE = 8;
const LATE_MS = 500;

/** Whether a request had no answer that long after its route's timeout. */
function isUnanswered({ path, endedAt, sentAt, isComplete, status }: Exchange, lateMs: number): boolean {
    return endedAt - sentAt > TIMEOUTS_MS[path]! + lateMs || !isComplete && status === undefined;
}

void runCase(async ({ record, hasTrouble }) => {
    const services = ["visit-planner", "attest-core"];
    const servers = new Set(
        services.flatMap(service =>
            Array.from({ length: Math.floor(SERVERS * TROUBLE_SHARE) }, (_, index) => `i-${service}-${index}`)
        ),
    );
    const spoiled = new SpoiledAnswers({ servers, share: SPOILED_SHARE, place: "length", byte: "-", record });
    const deployment = await Deployment.start({
        hosts: 3,
        servers: services.map(service => ({ service, count: SERVERS, slots: 6, workMs: 100 })),
        bodyOf: ({ id }) => Buffer.alloc(BODY_BYTES, `${id};`),
        interfere: spoiled.interfere,
    });
    if (hasTrouble) {
        TROUBLE_AT_MS.forEach(at => setTimeout(() => spoiled.start(TROUBLE_MS), at));
    }
    const exchanges = await steadyLoad({
        hosts: deployment.hosts,
        kinds: [
            { path: "/schedule/x", perSecond: 30, timeLeftMs: TIME_LEFT_MS },
            { path: "/sign/x", method: "POST", bodyBytes: 4_000, perSecond: 15, timeLeftMs: TIME_LEFT_MS },
        ],
        durationMs: DURATION_MS,
        record,
    });
    const ready = await Promise.all(deployment.hosts.map(host => host.isReady()));
    deployment.runs.forEach(({ id, server }) => record.add("ran", { id, server }));
    deployment.hosts.forEach((host, index) => {
        const cpuMs = host.processorMs;
        record.add("host", { host: host.hostId, ready: ready[index], ended: host.ends.length > 0, cpuMs });
    });
    await deployment.stop();
    const atTimeout = exchanges.filter(exchange => isUnanswered(exchange, 0)).length;
    const late = exchanges.filter(exchange => isUnanswered(exchange, LATE_MS)).length;
    return {
        isBroken: late >= MIN_LATE && late > atTimeout / 2,
        summary:
            `CONFIG: of ${atTimeout} requests without an answer at their route's timeout, ${late} had none half a second`
            + ` later; ${ready.filter(isReady => !isReady).length} of ${ready.length} hosts no longer answer /ready;`
            + ` ${spoiled.ids.size} answers were spoiled, ${exchanges.length} requests sent`,
    };
});
