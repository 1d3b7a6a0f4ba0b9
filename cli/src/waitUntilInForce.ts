import type { HostList } from "@pistachioreel/platform-store";
import { setTimeout as sleep } from "node:timers/promises";
import { createProgressReporter } from "./createProgressReporter.js";
import { hostStatusSchema } from "./hostStatus.js";
import { queryHosts } from "./queryHosts.js";

interface InForce {
    /** Hosts that have the version, or a later one, in force. */
    readonly inForce: readonly string[];
    /** Hosts that answer and do not have it in force. */
    readonly behind: readonly string[];
    /** Hosts of the platform's list that do not answer. */
    readonly unreachable: readonly string[];
}

interface WaitInForceOptions {
    /** Time to wait for hosts that are behind or unreachable, in ms. */
    readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 14_000;
const POLL_INTERVAL_MS = 200;

/** Waits until all listed hosts have a version of a document in force, or the time is over. */
export async function waitUntilInForce(
    list: HostList,
    document: "config" | "keys" | "plan",
    version: number,
    opts: WaitInForceOptions = {},
): Promise<InForce> {
    const deadline = Date.now() + (opts.timeoutMs ?? DEFAULT_TIMEOUT_MS);
    const progress = createProgressReporter();
    for (;;) {
        const hosts = (await list.hosts()).unwrapOr([]);
        const reports = await queryHosts(hosts, "/v1/status", hostStatusSchema);
        const idsOf = (selected: typeof reports) => selected.map(({ host }) => host.id);
        const answered = reports.filter(({ body }) => body !== undefined);
        const inForce = answered.filter(({ body }) => (body?.documents[document] ?? 0) >= version);
        if (inForce.length === reports.length || Date.now() >= deadline) {
            return {
                inForce: idsOf(inForce),
                behind: idsOf(answered.filter(report => !inForce.includes(report))),
                unreachable: idsOf(reports.filter(({ body }) => body === undefined)),
            };
        }
        progress(`in force on ${inForce.length} of ${reports.length} hosts`);
        await sleep(POLL_INTERVAL_MS);
    }
}
