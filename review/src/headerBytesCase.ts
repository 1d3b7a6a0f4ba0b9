import { Deployment } from "./deployment.js";
import { runCase } from "./runCase.js";
import { type Exchange, steadyLoad } from "./steadyLoad.js";

// A new version of the servers names a file in Georgian, as UTF-8, in a header of its answers. HTTP allows such bytes in the
// value of a header. No host may close a kept channel without the answer.

const SERVERS = 6;
const DURATION_MS = 25_000;
const RELEASE_AT_MS = 5_000;
/** Figures of `release` on the site: it replaces so many of a service's servers, one at a time. */
const RELEASE_SHARE = 0.45;
const GAP_MS = 1_000;
/** The rule allows as many. */
const MAX_LOST = 3;
const BODY_BYTES = 1_742;
const TIME_BUDGET_OVER = "time budget over";

/** Bytes of the text in UTF-8, each as one character, as they go over the wire. */
function bytesOf(text: string): string {
    return Buffer.from(text).toString("latin1");
}

void runCase(async ({ record, hasTrouble }) => {
    const services = ["attest-core", "deed-vault"];
    const deployment = await Deployment.start({
        hosts: 2,
        servers: services.map(service => ({ service, count: SERVERS, slots: 6, workMs: 100 })),
        bodyOf: ({ id }) => Buffer.alloc(BODY_BYTES, `${id};`),
    });
    const fileName = bytesOf("ხელმოწერა.pdf");
    if (hasTrouble) {
        setTimeout(() => {
            record.add("release");
            void deployment.release({
                service: "attest-core",
                count: Math.floor(SERVERS * RELEASE_SHARE),
                gapMs: GAP_MS,
                extraHead: [["Content-Disposition", `attachment; filename="${fileName}"`]],
            });
        }, RELEASE_AT_MS);
    }
    const exchanges = await steadyLoad({
        hosts: deployment.hosts,
        kinds: [
            { path: "/sign/x", method: "POST", bodyBytes: 4_000, perSecond: 20, timeLeftMs: 2_500 },
            { path: "/archive/x", perSecond: 10, timeLeftMs: 8_000 },
        ],
        durationMs: DURATION_MS,
        record,
    });
    const ran = new Map(deployment.runs.map(({ id, server }) => [id, server]));
    ran.forEach((server, id) => record.add("ran", { id, server }));
    await deployment.stop();
    const isLost = ({ id, isKept, status, reason }: Exchange) =>
        isKept && status === undefined && reason !== TIME_BUDGET_OVER && ran.has(id);
    const lost = exchanges.filter(isLost);
    lost.forEach(({ id, reason }) =>
        record.add("LOST", { id, server: ran.get(id), reason: reason?.replaceAll(" ", "-") })
    );
    return {
        isBroken: lost.length > MAX_LOST,
        summary:
            `LOST: ${lost.length} requests from kept channels ran at a server and their channel was closed without an`
            + ` answer; ${exchanges.length} requests sent`,
    };
});
