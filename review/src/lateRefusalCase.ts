import { Deployment } from "./deployment.js";
import { LateRefusals } from "./lateRefusals.js";
import { runCase } from "./runCase.js";
import { steadyLoad } from "./steadyLoad.js";

// Servers send a second answer after some complete ones, late and in the form of a refusal. No request that isn't idempotent may
// run twice, and none that has run may be answered as not run.

const SERVERS = 5;
const DURATION_MS = 40_000;
/** Figures of `garble` with `how = "extra late"` on the site, which may come more than once. */
const TROUBLE_MS = 5_000;
const TROUBLE_SHARE = 0.6;
const SECOND_ANSWER_SHARE = 0.03;
const TROUBLE_AT_MS = [3_000, 11_000, 19_000, 27_000];
/** Statuses that promise that the request has not run and never will. */
const NOT_RUN = new Set([408, 421, 429, 503]);

void runCase(async ({ record, hasTrouble }) => {
    const servers = new Set(Array.from({ length: SERVERS * TROUBLE_SHARE }, (_, index) => `i-attest-core-${index}`));
    const refusals = new LateRefusals({ servers, share: SECOND_ANSWER_SHARE, record });
    const deployment = await Deployment.start({
        hosts: 2,
        servers: [{ service: "attest-core", count: SERVERS, slots: 6, workMs: 150 }],
        bodyOf: ({ id }) => Buffer.from(id),
        interfere: refusals.interfere,
        onArrival: refusals.onArrival,
    });
    if (hasTrouble) {
        TROUBLE_AT_MS.forEach(at => setTimeout(() => refusals.start(TROUBLE_MS), at));
    }
    const exchanges = await steadyLoad({
        hosts: deployment.hosts,
        kinds: [{ path: "/sign/x", method: "POST", bodyBytes: 4_000, perSecond: 30, timeLeftMs: 2_500 }],
        durationMs: DURATION_MS,
        record,
    });
    const runs = new Map<string, string[]>();
    for (const { id, server } of deployment.runs) {
        record.add("ran", { id, server });
        runs.set(id, [...runs.get(id) ?? [], server]);
    }
    await deployment.stop();
    const twice = [...runs].filter(([, ranAt]) => ranAt.length > 1);
    twice.forEach(([id, ranAt]) => record.add("TWICE", { id, servers: ranAt.join(",") }));
    const refused = exchanges.filter(({ id, status }) => status !== undefined && NOT_RUN.has(status) && runs.has(id));
    refused.forEach(({ id, status }) => record.add("REFUSED", { id, status }));
    return {
        isBroken: twice.length + refused.length > 0,
        summary:
            `TWICE: ${twice.length} requests that aren't idempotent ran more than once; REFUSED: ${refused.length} were`
            + ` answered as not run and have run; ${refusals.sent} late second answers, ${exchanges.length} requests sent`,
    };
});
