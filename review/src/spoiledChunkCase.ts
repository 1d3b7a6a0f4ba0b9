import { Deployment } from "./deployment.js";
import { runCase } from "./runCase.js";
import { SpoiledAnswers } from "./spoiledAnswers.js";
import { type Exchange, steadyLoad } from "./steadyLoad.js";

// Servers answer in chunks and spoil one byte of the size of some of them. No client may get a success without the whole body.

const SERVERS = 6;
const DURATION_MS = 40_000;
const TROUBLE_AT_MS = 5_000;
/** Figures of `garble` on the site, which may come more than once. */
const TROUBLE_MS = 5_500;
const TROUBLE_SHARE = 0.35;
const SPOILED_SHARE = 0.02;
const TROUBLE_TIMES = 5;
const TROUBLE_INTERVAL_MS = 6_000;
const BODY_BYTES = 1_742;

function bodyOf({ id }: { readonly id: string; }): Buffer {
    return Buffer.alloc(BODY_BYTES, `${id};`);
}

function isWrong(exchange: Exchange): boolean {
    const { status = 0, isComplete, id, body } = exchange;
    return status >= 200 && status < 300 && isComplete && !body.equals(bodyOf({ id }));
}

void runCase(async ({ record, hasTrouble }) => {
    const services = ["visit-planner", "attest-core"];
    const servers = new Set(
        services.flatMap(service =>
            Array.from({ length: Math.floor(SERVERS * TROUBLE_SHARE) }, (_, index) => `i-${service}-${index}`)
        ),
    );
    const spoiled = new SpoiledAnswers({ servers, share: SPOILED_SHARE, place: "chunkSize", byte: "q", record });
    const deployment = await Deployment.start({
        hosts: 2,
        servers: services.map(service => ({ service, count: SERVERS, slots: 6, workMs: 100 })),
        bodyOf,
        interfere: spoiled.interfere,
    });
    for (let time = 0; hasTrouble && time < TROUBLE_TIMES; time++) {
        setTimeout(() => spoiled.start(TROUBLE_MS), TROUBLE_AT_MS + time * TROUBLE_INTERVAL_MS);
    }
    const exchanges = await steadyLoad({
        hosts: deployment.hosts,
        kinds: [
            { path: "/schedule/x", perSecond: 40, timeLeftMs: 2_000 },
            { path: "/sign/x", method: "POST", bodyBytes: 4_000, perSecond: 20, timeLeftMs: 2_500 },
        ],
        durationMs: DURATION_MS,
        record,
    });
    deployment.runs.forEach(({ id, server }) => record.add("ran", { id, server }));
    await deployment.stop();
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
    const served = exchanges.filter(({ status, isComplete }) => status === 200 && isComplete).length;
    return {
        isBroken: wrong.length > 0,
        summary: `MIXED: ${wrong.length} of ${served} successes do not have the server's whole body;`
            + ` ${spoiled.ids.size} answers were spoiled, ${exchanges.length} requests sent`,
    };
});
