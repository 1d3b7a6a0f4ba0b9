import { Deployment } from "./deployment.js";
import { EndlessAnswers } from "./endlessAnswers.js";
import { runCase } from "./runCase.js";
import { steadyLoad } from "./steadyLoad.js";

// Some answers of servers in trouble are chunks of one byte without an end. The hosts must go on, and lose no other request.

/** Servers, slots and times as on the site. */
const SERVICES = [
    { service: "visit-planner", count: 12, slots: 6, workMs: 360 },
    { service: "attest-core", count: 12, slots: 3, workMs: 480 },
];
const DURATION_MS = 80_000;
/** Largest time of `garble` on the site, which may come more than once. */
const TROUBLE_MS = 6_000;
const TROUBLE_AT_MS = [3_000, 15_000, 27_000, 39_000, 51_000, 63_000];
/** The default share of `garble`, and the largest share of answers that it spoils on the site. */
const TROUBLE_SHARE = 0.5;
const ENDLESS_SHARE = 0.4;
/** Bytes of an endless answer that come at once; a host gives up on a little more than a megabyte of framing. */
const FAST_BYTES = 1_340_000;
const BODY_BYTES = 1_742;
const HOSTS = 3;
/** The rule counts machines on which processes end as often, from two machines on. */
const MAX_ENDS = 3;
const MIN_MACHINES = Math.max(2, HOSTS / 10);
const OUT_OF_MEMORY = /FATAL ERROR: .*heap/;

void runCase(async ({ record, hasTrouble }) => {
    const servers = new Set(
        SERVICES.flatMap(({ service, count }) =>
            Array.from({ length: count * TROUBLE_SHARE }, (_, index) => `i-${service}-${index}`)
        ),
    );
    const endless = new EndlessAnswers({ servers, share: ENDLESS_SHARE, fastBytes: FAST_BYTES, record });
    const deployment = await Deployment.start({
        hosts: HOSTS,
        servers: SERVICES,
        bodyOf: ({ id }) => Buffer.alloc(BODY_BYTES, `${id};`),
        interfere: endless.interfere,
    });
    deployment.hosts.forEach(host => host.isRestarted = true);
    if (hasTrouble) {
        TROUBLE_AT_MS.forEach(at => setTimeout(() => endless.start(TROUBLE_MS), at));
    }
    const exchanges = await steadyLoad({
        hosts: deployment.hosts,
        kinds: [
            { path: "/schedule/x", perSecond: 35, timeLeftMs: 2_000 },
            { path: "/sign/x", method: "POST", bodyBytes: 4_000, perSecond: 20, timeLeftMs: 2_500 },
        ],
        durationMs: DURATION_MS,
        record,
    });
    deployment.runs.forEach(({ id, server }) => record.add("ran", { id, server }));
    const ends = deployment.hosts.map(host => host.ends.length);
    for (const { hostId, ends: hostEnds, lines } of deployment.hosts) {
        const outOfMemory = lines.filter(line => OUT_OF_MEMORY.test(line)).length;
        const signals = hostEnds.map(({ code, signal }) => signal ?? code).join(",");
        record.add("host", { host: hostId, ends: hostEnds.length, signals, outOfMemory });
    }
    await deployment.stop();
    const served = exchanges.filter(({ status }) => status === 200).length;
    return {
        isBroken: ends.filter(count => count >= MAX_ENDS).length >= MIN_MACHINES,
        summary:
            `Fault: processes ended by themselves ${
                ends.join(", ")
            } times on the ${HOSTS} machines; ${endless.ids.size}`
            + ` answers had no end, ${served} of ${exchanges.length} requests were served`,
    };
});
