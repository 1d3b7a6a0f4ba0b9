import { setTimeout as sleep } from "node:timers/promises";
import { StoreStandIn } from "../../platform/test/storeStandIn.js";
import { CrowdChannel } from "./crowdChannel.js";
import { runToExit } from "./runToExit.js";
import { TenantServer } from "./tenantServer.js";
import { trialDesiredState } from "./trialDocuments.js";
import { TrialGateway } from "./trialGateway.js";
import { TrialRecord } from "./trialRecord.js";
import { trialServerEntry } from "./trialServerEntry.js";

const SERVERS = 6;
/** The bound `config_apply` of the site is 2,500 ms. */
const AFTER_CHANGE_MS = 4_000;
const REQUESTS_PER_TENANT = 50;
const SEND_EVERY_MS = 20;
/** A bank of Tbilisi in Georgian letters, and an architect of Ljubljana. */
const NEW_TENANTS = [
    { name: "თბილისის ბანკი", api_keys: ["key-of-the-bank"] },
    { name: "Plečnik", api_keys: ["key-of-the-architect"] },
];
const isCalm = process.env["TROUBLE"] === "0";
const [folder = "."] = process.argv.slice(2);

interface Sent {
    readonly id: string;
    readonly tenant: string;
    readonly outcome: string;
}

/** The operator adds tenants whose names have letters beyond Latin-1. Servers must be told the tenant that holds the key. */
async function run(): Promise<number> {
    const record = new TrialRecord(folder);
    const store = new StoreStandIn();
    const storeAddress = await store.start();
    const state = trialDesiredState();
    store.put("config", "main", state);
    const servers = Array.from({ length: SERVERS }, (_, index) => new TenantServer(`i-${index}`));
    for (const [index, server] of servers.entries()) {
        const zone = index % 2 === 0 ? "tbs-a" : "tbs-b";
        const address = await server.start();
        store.put("servers", server.id, trialServerEntry({ address, service: "deed-vault", zone, slots: 6 }));
    }
    const gateway = await TrialGateway.start({ hostId: "front-tbs-a-1", zone: "tbs-a", store: storeAddress });
    const before = state["tenants"] as readonly { readonly name: string; readonly api_keys: readonly string[]; }[];
    const added = isCalm ? [] : NEW_TENANTS;
    const tenants = [...before, ...added.map(tenant => ({ ...tenant, priority: 1, rate_per_s: 190, burst: 190 }))];
    store.put("config", "main", { ...state, version: "r9", tenants });
    record.add(`the operator writes r9 with ${added.length} tenants more: ${added.map(({ name }) => name).join(", ")}`);
    await sleep(AFTER_CHANGE_MS);
    const sent: Sent[] = [];
    for (let round = 0; round < REQUESTS_PER_TENANT; round++) {
        for (const { name, api_keys: [key] } of [before[0]!, ...added]) {
            const id = `request-${sent.length}`;
            const channel = new CrowdChannel({ address: gateway.addresses.callers });
            const lines = [
                "POST /scan/deed HTTP/1.1",
                "Host: witness.example",
                `X-Request-Id: ${id}`,
                "X-Deadline-Ms: 2000",
                `Authorization: Token ${key}`,
                "Content-Length: 4",
            ];
            const outcome = await channel.send(`${lines.join("\r\n")}\r\n\r\n`, Buffer.from("deed"));
            channel.close();
            sent.push({ id, tenant: name, outcome });
            record.add(`sent ${id} with the key of ${name}; answered ${outcome}`);
            await sleep(SEND_EVERY_MS);
        }
    }
    gateway.kill();
    await gateway.waitUntilEnded();
    servers.forEach(server => server.stop());
    store.stop();
    const runs = new Map(servers.flatMap(({ ran }) => ran.map(({ id, tenant }) => [id, tenant] as const)));
    // Either way to write letters as the bytes of a header is taken.
    const isNamed = (tenant: string, bytes: Buffer | undefined) =>
        bytes?.toString("utf8") === tenant || bytes?.toString("latin1") === tenant;
    const wrong = sent.filter(({ id, tenant }) => runs.has(id) && !isNamed(tenant, runs.get(id)));
    wrong.forEach(({ id, tenant }) => {
        const bytes = runs.get(id);
        record.add(`ran ${id} of ${tenant} with X-Tenant ${bytes?.toString("hex") ?? "missing"} (bytes)`);
    });
    for (const { name } of [before[0]!, ...added]) {
        const ofTenant = sent.filter(({ tenant }) => tenant === name);
        const outcomes: Record<string, number> = {};
        ofTenant.forEach(({ outcome }) => outcomes[outcome] = (outcomes[outcome] ?? 0) + 1);
        const ran = ofTenant.filter(({ id }) => runs.has(id)).length;
        record.add(`${name}: ${ofTenant.length} requests, answers ${JSON.stringify(outcomes)}, ${ran} ran`);
    }
    const unreadable = servers.flatMap(server => server.unreadable);
    record.add(`requests that servers could not read: ${unreadable.length} ${[...new Set(unreadable)].join(", ")}`);
    const sound = sent.filter(({ tenant, outcome }) => tenant === before[0]!.name && outcome === "200").length;
    if (sound < REQUESTS_PER_TENANT / 2) {
        record.save("the case could not run: the earlier tenant is not served");
        return 2;
    }
    record.save(
        wrong.length > 0
            ? `UNASKED is broken: ${wrong.length} requests ran with an X-Tenant that is not the tenant of the key`
            : "UNASKED held: each request ran with the tenant of its key",
    );
    return wrong.length > 0 ? 1 : 0;
}

runToExit(run);
