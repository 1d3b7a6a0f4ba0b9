import { setTimeout as sleep } from "node:timers/promises";
import { Deployment } from "./deployment.js";
import { desiredState, HOST_NAME } from "./documents.js";
import { ReviewClient } from "./reviewClient.js";
import { runCase } from "./runCase.js";

// A new desired state adds a host with a split route, whose name a split route of the first host has too. Each request may run
// only at the services of its own route.

const SERVICES = ["visit-planner", "attest-core", "deed-vault"];
const OTHER_HOST = "vault.example";
const ALLOWED: Readonly<Record<string, readonly string[]>> = {
    [HOST_NAME]: ["visit-planner", "attest-core"],
    [OTHER_HOST]: ["deed-vault", "attest-core"],
};
/** The bound `config_apply` of the site, and as much again. */
const APPLY_MS = 5_000;
const REQUESTS_PER_HOST = 200;
const INTERVAL_MS = 10;

/** One split route for each host. */
function splitState(names: readonly [string, string]) {
    const state = desiredState();
    const [shared] = state.hosts[0]!.paths;
    const hosts = [HOST_NAME, OTHER_HOST].map((host, index) => {
        const [first, second] = ALLOWED[host]!;
        const traffic_split = [{ service: first, weight: 90 }, { service: second, weight: 10 }];
        const path = { ...shared!, name: names[index], path_prefix: "/main/", type: "unsafe", service: undefined };
        return { host, paths: [{ ...path, traffic_split }] };
    });
    return { ...state, version: "r9", hosts };
}

void runCase(async ({ record, hasTrouble }) => {
    const deployment = await Deployment.start({
        hosts: 2,
        servers: SERVICES.map(service => ({ service, count: 4, slots: 6, workMs: 50 })),
        bodyOf: ({ server }) => Buffer.from(server),
    });
    const names = hasTrouble ? ["r-main", "r-main"] as const : ["r-main", "r-main-2"] as const;
    record.add("config", { names: names.join(",") });
    deployment.applyDesiredState(splitState(names));
    await sleep(APPLY_MS);
    const client = new ReviewClient();
    const calls: Promise<unknown>[] = [];
    const sentTo = new Map<string, string>();
    for (let index = 0; index < REQUESTS_PER_HOST; index++) {
        for (const hostName of [HOST_NAME, OTHER_HOST]) {
            const id = `${hostName}.${index}`;
            const address = deployment.hosts[index % 2]!.addresses.callers;
            sentTo.set(id, hostName);
            record.add("sent", { id });
            calls.push(
                client.call({ address, id, path: "/main/x", method: "POST", hostName, timeLeftMs: 2_000 })
                    .then(({ status }) => record.add("answered", { id, status })),
            );
            await sleep(INTERVAL_MS);
        }
    }
    await Promise.all(calls);
    client.stop();
    const wrong = deployment.runs.filter(({ id, server }) =>
        !ALLOWED[sentTo.get(id)!]!.some(service => server.startsWith(`i-${service}-`))
    );
    deployment.runs.forEach(({ id, server }) => record.add("ran", { id, server }));
    await deployment.stop();
    return {
        isBroken: wrong.length > 0,
        summary:
            `ROUTE: ${wrong.length} of ${deployment.runs.length} requests ran at a service to which no desired state sends them`,
    };
});
