import type { HostList } from "@pistachioreel/platform-store";
import { setTimeout as sleep } from "node:timers/promises";
import { createProgressReporter } from "./createProgressReporter.js";
import { hostStatusSchema } from "./hostStatus.js";
import type { OperatorDocument } from "./operatorDocument.js";
import { queryHosts } from "./queryHosts.js";

/** Ids of the listed hosts by whether they have a version of a document in force. */
interface RolloutState {
    /** Hosts that have the version, or a later one, in force. */
    readonly inForce: readonly string[];
    /** Hosts that reply and do not have it in force. */
    readonly behind: readonly string[];
    /** Hosts of the platform's list that do not reply. */
    readonly unreachable: readonly string[];
}

interface WaitUntilInForceOptions {
    /** Time to wait for hosts that are behind or unreachable, in ms; 14 000 by default. */
    readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 14_000;
const POLL_INTERVAL_MS = 200;

/**
 * Waits until all listed hosts have a version of a document in force, or the time to wait is over. Returns the state at
 * that time in either case.
 */
export async function waitUntilInForce(
    list: HostList,
    document: OperatorDocument,
    version: number,
    opts: WaitUntilInForceOptions = {},
): Promise<RolloutState> {
    const deadline = Date.now() + (opts.timeoutMs ?? DEFAULT_TIMEOUT_MS);
    const reportProgress = createProgressReporter();
    for (;;) {
        const hosts = (await list.hosts()).unwrapOr([]);
        const replies = await queryHosts(hosts, "/v1/status", hostStatusSchema);
        const idsOf = (selected: typeof replies) => selected.map(({ host }) => host.id);
        const reachable = replies.filter(({ body }) => body !== undefined);
        const inForce = reachable.filter(({ body }) => (body?.documents[document] ?? 0) >= version);
        if (inForce.length === replies.length || Date.now() >= deadline) {
            return {
                inForce: idsOf(inForce),
                behind: idsOf(reachable.filter(reply => !inForce.includes(reply))),
                unreachable: idsOf(replies.filter(({ body }) => body === undefined)),
            };
        }
        reportProgress(`in force on ${inForce.length} of ${replies.length} hosts`);
        await sleep(POLL_INTERVAL_MS);
    }
}
