import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { FairTargetQueue, NearestLeastLoaded, type SlotRequest, SlotUsage, TargetStatistics } from "../src/index.js";

const LOCATION = { service: "catalogue", availabilityZone: "perth-a", region: "perth" };
const random = seededRandom(1);
const OUTCOME = { end: "complete", latencyMs: 1 } as const;
const REQUEST_MS = 20;
const SIMULATED_MS = 10_000;

function targets(count: number, slots: number) {
    return Array.from({ length: count }, (_, i) => ({ id: `target-${i}`, ...LOCATION, slots, state: "live" as const }));
}

function createQueue(count: number, slots: number, maxWaiting = 200, now = () => performance.now()) {
    const slotUsage = new SlotUsage();
    const list = targets(count, slots);
    const opts = {
        chooser: new NearestLeastLoaded({
            ...LOCATION,
            statistics: new TargetStatistics({ slots: slotUsage, now }),
            random,
        }),
        slots: slotUsage,
        targetsOf: () => list,
        now,
    };
    const queue = new FairTargetQueue({ ...opts, maxWaitingPerWorkspace: maxWaiting });
    return { queue, slotUsage };
}

function request(changes: Partial<SlotRequest> = {}): SlotRequest {
    return {
        service: "catalogue",
        workspace: "dealers",
        priority: "normal",
        deadlineAt: performance.now() + 5_000,
        excluded: new Set(),
        signal: new AbortController().signal,
        ...changes,
    };
}

/** Runs the requests on one slot and returns their workspaces or priorities in the order in which they got it. */
async function orderOf(requests: readonly SlotRequest[], nameOf: (request: SlotRequest) => string): Promise<string[]> {
    const { queue } = createQueue(1, 1);
    const blocker = (await queue.acquire(request({ workspace: "blocker" })))._unsafeUnwrap();
    const order: string[] = [];
    const work = requests.map(async waiting => {
        const grant = (await queue.acquire(waiting))._unsafeUnwrap();
        order.push(nameOf(waiting));
        grant.release(OUTCOME);
    });
    blocker.release(OUTCOME);
    await Promise.all(work);
    return order;
}

test("a workspace with a long queue does not delay the request of another", async () => {
    const busy = Array.from({ length: 40 }, () => request({ workspace: "busy" }));
    const order = await orderOf([...busy, request({ workspace: "quiet" })], ({ workspace }) => workspace ?? "");
    assert.ok(order.indexOf("quiet") <= 2, `position ${order.indexOf("quiet")}`);
});

test("urgent requests come first and each lower priority gets at least a tenth", async () => {
    const of = (priority: SlotRequest["priority"]) => Array.from({ length: 40 }, () => request({ priority }));
    const order = await orderOf(
        [...of("deferrable"), ...of("normal"), ...of("urgent")],
        ({ priority }) => priority,
    );
    const first = order.slice(0, 40);
    const shareOf = (name: string) => first.filter(priority => priority === name).length / first.length;
    assert.ok(shareOf("urgent") >= 0.75, `urgent ${shareOf("urgent")}`);
    assert.ok(shareOf("normal") >= 0.075 && shareOf("deferrable") >= 0.075, first.join(" "));
});

test("a workspace's queue is bounded and the refusal says that the request was not run", async () => {
    const { queue } = createQueue(1, 1, 50);
    await queue.acquire(request());
    const waiting = Array.from({ length: 50 }, () => queue.acquire(request({ deadlineAt: performance.now() + 100 })));
    const surplus = (await queue.acquire(request()))._unsafeUnwrapErr();
    assert.equal(surplus.code, "queueFull");
    assert.ok(surplus.isNotRun);
    const other = queue.acquire(request({ workspace: "other", deadlineAt: performance.now() + 50 }));
    assert.equal((await other)._unsafeUnwrapErr().code, "deadlineInQueue");
    await Promise.all(waiting);
});

test("requests leave the queue at once on deadline or disconnect, and the next request gets the slot", async () => {
    const { queue, slotUsage } = createQueue(1, 1);
    const first = (await queue.acquire(request()))._unsafeUnwrap();
    const caller = new AbortController();
    const expiring = queue.acquire(request({ deadlineAt: performance.now() + 30 }));
    const disconnected = queue.acquire(request({ signal: caller.signal }));
    const next = queue.acquire(request());
    caller.abort();
    assert.equal(
        await Promise.race([disconnected, expiring]),
        await disconnected,
        "a disconnected request still waits",
    );
    assert.equal((await disconnected)._unsafeUnwrapErr().code, "deadlineInQueue");
    const ended = await Promise.race([expiring, sleep(60)]);
    assert.equal(ended?._unsafeUnwrapErr().code, "deadlineInQueue", "a request still waits after its deadline");
    first.release(OUTCOME);
    (await next)._unsafeUnwrap().release(OUTCOME);
    assert.equal(slotUsage.runningOn("target-0"), 0);
});

test("a request whose earlier attempts exclude every target fails at once", async () => {
    const { queue } = createQueue(1, 1);
    const result = await queue.acquire(request({ excluded: new Set(["target-0"]) }));
    assert.equal(result._unsafeUnwrapErr().code, "noTarget");
});

/**
 * Highest p99 latency in ms of three quiet workspaces while a fourth one sends `busyRate` requests a second. Time is
 * simulated in steps of 1 ms, so that load on the machine is not measured as waiting.
 */
async function worstOtherP99(busyRate: number): Promise<number> {
    let clock = 0;
    const { queue } = createQueue(12, 4, 200, () => clock);
    const latencies = new Map<string, number[]>();
    const running: { readonly endAt: number; readonly end: () => void; }[] = [];
    const runRequest = async (workspace: string) => {
        const startedAt = clock;
        const grant = await queue.acquire(request({ workspace, deadlineAt: clock + 5_000 }));
        if (grant.isOk()) {
            const end = () => {
                grant.value.release({ end: "complete", latencyMs: REQUEST_MS });
                latencies.set(workspace, [...latencies.get(workspace) ?? [], clock - startedAt]);
            };
            running.push({ endAt: clock + REQUEST_MS, end });
        }
    };
    const rates: Record<string, number> = { busy: busyRate, "quiet-a": 300, "quiet-b": 300, "quiet-c": 300 };
    for (; clock < SIMULATED_MS; clock++) {
        while ((running[0]?.endAt ?? Infinity) <= clock) {
            running.shift()?.end();
        }
        for (const [name, rate] of Object.entries(rates)) {
            // Arrivals are spread at random, as those of independent callers are.
            for (let due = Math.floor(rate / 1_000 + random()); due > 0; due--) {
                void runRequest(name);
            }
        }
        await new Promise(resolve => setImmediate(resolve));
    }
    const p99s = [...latencies].filter(([name]) => name !== "busy").map(([, values]) => percentile(values, 0.99));
    return Math.max(...p99s);
}

function percentile(values: number[], share: number): number {
    return values.sort((a, b) => a - b)[Math.floor(values.length * share)] ?? NaN;
}

test("a workspace at 5 times its rate adds at most one tenth to the p99 of the others", async t => {
    const without = await worstOtherP99(300);
    const withBusy = await worstOtherP99(1_500);
    t.diagnostic(`p99 ${without} ms without, ${withBusy} ms with the busy workspace`);
    assert.ok(withBusy <= without * 1.1, `ratio ${withBusy / without}`);
});

/** Linear congruential generator, so that each run has the same arrivals. */
function seededRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}
