import { setTimeout as sleep } from "node:timers/promises";
import type { GatewayHost } from "./gatewayHost.js";
import type { RecordFile } from "./recordFile.js";
import { type Answer, ReviewClient } from "./reviewClient.js";

/** Requests of one kind, at a steady rate. */
interface RequestKind {
    readonly path: string;
    readonly method?: string;
    readonly bodyBytes?: number;
    /** Requests a second at each host. */
    readonly perSecond: number;
    readonly timeLeftMs: number;
}

interface SteadyLoadOptions {
    readonly hosts: readonly GatewayHost[];
    readonly kinds: readonly RequestKind[];
    readonly durationMs: number;
    readonly record: RecordFile;
}

/** A request and what its client got. */
export interface Exchange extends Answer {
    readonly host: GatewayHost;
    readonly path: string;
}

const MS_PER_SECOND = 1_000;
const STEP_MS = 5;

/** Sends requests to all hosts at steady rates on kept channels; resolves once all have ended. */
export async function steadyLoad({ hosts, kinds, durationMs, record }: SteadyLoadOptions): Promise<Exchange[]> {
    const client = new ReviewClient();
    const exchanges: Promise<Exchange>[] = [];
    const startedAt = performance.now();
    const sent = new Map<string, number>();
    let sequence = 0;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs = performance.now() - startedAt) {
        for (const host of hosts) {
            for (const kind of kinds) {
                const key = `${host.hostId} ${kind.path}`;
                const due = elapsedMs * kind.perSecond / MS_PER_SECOND;
                for (let count = sent.get(key) ?? 0; count < due; count++) {
                    sent.set(key, count + 1);
                    exchanges.push(exchange(client, host, kind, `${host.hostId}.${++sequence}`, record));
                }
            }
        }
        await sleep(STEP_MS);
    }
    const ended = await Promise.all(exchanges);
    client.stop();
    return ended;
}

async function exchange(
    client: ReviewClient,
    host: GatewayHost,
    { path, method, bodyBytes, timeLeftMs }: RequestKind,
    id: string,
    record: RecordFile,
): Promise<Exchange> {
    const body = bodyBytes === undefined ? undefined : Buffer.alloc(bodyBytes, "d");
    record.add("sent", { id, host: host.hostId, path });
    const answer = await client.call({ address: host.addresses.callers, id, path, method, body, timeLeftMs });
    const { status, reason, isComplete, body: { length } } = answer;
    const tookMs = Math.round(answer.endedAt - answer.sentAt);
    record.add("answered", {
        id,
        status,
        bytes: length,
        complete: isComplete,
        reason: reason?.replaceAll(" ", "-"),
        tookMs,
    });
    return { ...answer, host, path };
}
