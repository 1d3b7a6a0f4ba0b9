import { CrashSuspects, RetryBudget } from "@pistachioreel/delivery";
import { Logger } from "@pistachioreel/logging";
import { type Target, targetKey, type TargetRegistry } from "@pistachioreel/placement";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { routeContent } from "../../desired-state/test/stateContent.js";
import { newHost, newTarget } from "../../placement/test/fixtures.js";
import type { Dialect } from "../src/dialect.js";
import { GatewayMetrics } from "../src/gatewayMetrics.js";
import type { RelayedRequest } from "../src/relayedRequest.js";
import { requestDigest } from "../src/requestDigest.js";
import { RequestRelay } from "../src/requestRelay.js";
import type { TargetConnectionPools } from "../src/targetConnectionPools.js";
import { TargetReach } from "../src/targetReach.js";
import { newRequestPlacement } from "./newRequestPlacement.js";

/** Longer than the time after which a slow attempt is cancelled. */
const DEADLINE_MS = 1_500;

/** Time left to a host that is leaving; longer than any request of these tests. */
const LEAVING_MS = 60_000;

interface RelayOptions {
    /** Result of an exchange that is aborted. */
    readonly end?: "unsent" | "lost";
    /** Whether the retry budget allows retries. */
    readonly hasBudget?: boolean;
    readonly isLeaving?: boolean;
    readonly targets?: readonly Target[];
    readonly poolOf?: (target: Target) => object;
    readonly dialect?: Partial<Dialect>;
    /** Whether the host reaches no target, and no other host takes its requests. */
    readonly isCutOff?: boolean;
}

/** Options of a relay with four targets; all but the last have left, and others have their addresses. */
function withReusedAddresses(): RelayOptions {
    const targets = ["t", "u", "v", "w"].map(id => newTarget(id));
    return {
        targets,
        poolOf: ({ id }) => ({
            exchange: async () => ({
                end: "answered",
                response: { status: id === "w" ? 200 : 421, headers: [], body: Buffer.alloc(0), isFramed: true },
            }),
        }),
        dialect: {
            interpretResponse: ({ status }) => ({
                statement: undefined,
                outcome: status === 421 ? "misdirected" : "result",
            }),
        },
    };
}

/** Options of a relay whose targets refuse each request without naming it. */
function withRefusals(mayBeLate: boolean): RelayOptions {
    return {
        targets: ["t", "u", "v"].map(id => newTarget(id)),
        poolOf: () => ({
            exchange: async () => ({
                end: "answered",
                response: { status: 503, headers: [], body: Buffer.alloc(0), isFramed: true, mayBeLate },
            }),
        }),
        dialect: { interpretResponse: () => ({ statement: undefined, outcome: "full" }) },
    };
}

/** Creates a relay with two targets that never respond, unless `pool` and `dialect` say otherwise. */
function newRelay({ end = "unsent", hasBudget = true, isLeaving = false, ...opts }: RelayOptions = {}) {
    const target = newTarget("t");
    const now = () => performance.now();
    const clock = {
        get now() {
            return performance.now();
        },
    };
    const targets = opts.targets ?? [target, newTarget("u")];
    const host = newHost({ clock, targets });
    const pool = {
        exchange: (_request: unknown, signal: AbortSignal) =>
            new Promise(resolve => signal.addEventListener("abort", () => resolve({ end, reason: "cancelled" }))),
        probe: () => Promise.resolve(true),
        closeIdle: () => undefined,
    };
    const dialect = { targetHeaders: () => [], ...opts.dialect } as unknown as Dialect;
    const connectionPools = { poolOf: opts.poolOf ?? (() => pool) } as unknown as TargetConnectionPools;
    const reach = new TargetReach({
        availabilityZone: "a",
        targets: () => targets,
        probe: () => Promise.resolve(true),
        onChange: () => undefined,
        logger: new Logger("relay-test", { write: () => undefined }),
        now,
        signal: new AbortController().signal,
    });
    const placement = newRequestPlacement({ state: host, dialect, connectionPools, reach, now });
    const suspects = new CrashSuspects({ hostId: "h1", observe: () => undefined, now });
    if (opts.isCutOff === true) {
        Object.defineProperty(reach, "isCutOff", { get: () => true });
    }
    const relay = new RequestRelay({
        ...host,
        placement,
        connectionPools,
        detour: { send: () => Promise.resolve(undefined) },
        metrics: new GatewayMetrics(),
        reach,
        suspects,
        retryBudget: () => new RetryBudget({ now, ...(hasBudget ? {} : { share: 0, minPerSecond: 0 }) }),
        endsAt: () => isLeaving ? performance.now() + LEAVING_MS : Infinity,
        logger: new Logger("relay-test", { write: () => undefined }),
        now,
    });
    return { ...host, relay, target, targets, suspects, placement };
}

function newRequest(opts: Partial<RelayedRequest> = {}): RelayedRequest {
    return {
        id: "r1",
        method: "GET",
        url: "/x",
        rawHeaders: [],
        body: undefined,
        route: routeContent(),
        service: "svc",
        workspace: undefined,
        object: undefined,
        objectiveAt: performance.now() + 250,
        deadlineAt: performance.now() + 2_000,
        isDetoured: false,
        ...opts,
    };
}

describe("RequestRelay", () => {
    it("does not count a target as unreachable when the caller disconnects during a connect", async () => {
        const { relay, target, health } = newRelay();
        const caller = new AbortController();
        setTimeout(() => caller.abort(), 20);
        const result = await relay.run(newRequest(), caller.signal);
        assert.ok("failure" in result);
        assert.equal(health.isBackedOff(target), false);
        assert.equal(health.isPresumedCold(target), false);
    });

    it("reports that a request has not run if its deadline passes during a connect", async () => {
        const { relay } = newRelay();
        const request = newRequest({
            route: { ...routeContent(), isIdempotent: false },
            deadlineAt: performance.now() + 50,
        });
        const result = await relay.run(request, new AbortController().signal);
        assert.ok("failure" in result && result.failure.isNotRun);
    });

    for (const opts of [{ hasBudget: false }, { isLeaving: true }]) {
        it(`does not cancel a slow attempt if no other target may be tried: ${JSON.stringify(opts)}`, async () => {
            const { relay } = newRelay({ end: "lost", ...opts });
            const startedAt = performance.now();
            const result = await relay.run(
                newRequest({ deadlineAt: startedAt + DEADLINE_MS }),
                new AbortController().signal,
            );
            assert.ok("failure" in result && result.failure.code === "deadlineExceeded");
            assert.equal(result.sends, 1);
            assert.ok(performance.now() - startedAt >= DEADLINE_MS - 5);
        });
    }

    it("refuses a request at once that could last longer than the host, as its response could be cut off", async () => {
        const { relay } = newRelay({ isLeaving: true });
        const request = newRequest({ deadlineAt: performance.now() + LEAVING_MS + DEADLINE_MS });
        const result = await relay.run(request, new AbortController().signal);
        assert.ok("failure" in result && result.failure.code === "hostLeaving" && result.failure.isNotRun);
        assert.equal(result.sends, 0);
        assert.equal(result.retryAfterMs, 0);
    });

    it("counts a target as slow that does not respond before the deadline", async () => {
        const { relay, paces, targets } = newRelay({ end: "lost", hasBudget: false });
        await relay.run(newRequest({ deadlineAt: performance.now() + DEADLINE_MS }), new AbortController().signal);
        assert.ok(targets.some(target => paces.paceOf(targetKey(target)).factor > 1));
    });

    it("does not count targets that have left among the targets that a request may be sent to", async () => {
        for (let round = 0; round < 8; round++) {
            const { relay } = newRelay(withReusedAddresses());
            const request = newRequest({ route: { ...routeContent(), isIdempotent: false } });
            const result = await relay.run(request, new AbortController().signal);
            assert.ok("response" in result && result.response.status === 200);
            assert.equal(result.sends, 1);
        }
    });

    const changes: Record<string, (registry: TargetRegistry, target: Target) => void> = {
        "announces that it leaves": (registry, target) => registry.put({ ...target, isDraining: true }),
        "is removed": (registry, { id }) => registry.remove(id),
        "is evacuated": (registry, { availabilityZone }) => registry.setEvacuatedZones(new Set([availabilityZone])),
    };
    for (const [change, apply] of Object.entries(changes)) {
        it(`does not send a request to a target that ${change} while a connection to it is opened`, async () => {
            const [leaving, other] = [newTarget("t"), newTarget("u", { availabilityZone: "n-b" })];
            const sentTo: string[] = [];
            const { relay, registry } = newRelay({
                targets: [leaving, other],
                poolOf: ({ id }) => ({
                    exchange: async (createRequest: () => unknown) => {
                        apply(registry, leaving);
                        if (createRequest() === undefined) {
                            return { end: "unsent", reason: "withdrawn", isWithdrawn: true };
                        }
                        sentTo.push(id);
                        return {
                            end: "answered",
                            response: { status: 200, headers: [], body: Buffer.alloc(0), isFramed: true },
                        };
                    },
                }),
                dialect: { interpretResponse: () => ({ statement: undefined, outcome: "result" }) },
            });
            await Promise.all(
                Array.from(
                    { length: 8 },
                    (_, object) => relay.run(newRequest({ object: String(object) }), new AbortController().signal),
                ),
            );
            assert.deepEqual(new Set(sentTo), new Set(["u"]));
        });
    }

    it("does not run an order twice because of a refusal that may be a late second response to an earlier one", async () => {
        const { relay } = newRelay(withRefusals(true));
        const order = newRequest({ route: { ...routeContent(), isIdempotent: false } });
        const result = await relay.run(order, new AbortController().signal);
        assert.ok("failure" in result && !result.failure.isNotRun);
        assert.equal(result.sends, 1);
    });

    for (
        const { mayBeLate, isIdempotent } of [{ mayBeLate: false, isIdempotent: false }, {
            mayBeLate: true,
            isIdempotent: true,
        }]
    ) {
        it(`does not give up a request that may be repeated or was refused for certain: ${JSON.stringify({ mayBeLate, isIdempotent })}`, async () => {
            const { relay } = newRelay(withRefusals(mayBeLate));
            const request = newRequest({ route: { ...routeContent(), isIdempotent } });
            const result = await relay.run(request, new AbortController().signal);
            assert.ok("failure" in result && result.failure.isNotRun);
            assert.ok(result.sends > 1);
        });
    }

    it("does not block the process while the host reaches no target and no other host takes its requests", async () => {
        const { relay } = newRelay({ end: "lost", isCutOff: true });
        let timers = 0;
        const timer = setInterval(() => timers++, 10);
        const result = await relay.run(
            newRequest({ deadlineAt: performance.now() + 300 }),
            new AbortController().signal,
        );
        clearInterval(timer);
        assert.ok("failure" in result);
        assert.equal(result.sends, 1);
        assert.ok(timers > 0);
    });

    it("does not run the waiting copies of a request that has crashed a target", async () => {
        const { relay, suspects, loads, placement, targets } = newRelay(withRefusals(false));
        const ends = targets.flatMap(({ id }) => Array.from({ length: 100 }, () => loads.start(id)));
        const route = { ...routeContent(), isIdempotent: false };
        const copy = newRequest({ route, objectiveAt: performance.now() + 1_000 });
        const running = Array.from({ length: 4 }, () => relay.run(copy, new AbortController().signal));
        const now = performance.now();
        suspects.recordLoss(requestDigest(copy), "t", "free", { startedAt: now, endedAt: now });
        suspects.recordLoss(requestDigest(copy), "u", "turn", { startedAt: now, endedAt: now });
        ends.forEach(end => end());
        placement.handleRoom(copy.service);
        const results = await Promise.all(running);
        assert.ok(results.every(result => "failure" in result && result.failure.code === "crashSuspect"));
        assert.equal(results.reduce((sends, result) => sends + result.sends, 0), 0);
    });

    it("sends the request to another target if the first one is slow", async () => {
        const { relay } = newRelay({ end: "lost" });
        const request = newRequest({ deadlineAt: performance.now() + DEADLINE_MS });
        assert.equal((await relay.run(request, new AbortController().signal)).sends, 2);
    });
});
