import { CrashSuspects, RetryBudget } from "@pistachioreel/delivery";
import { Logger } from "@pistachioreel/logging";
import type { Target } from "@pistachioreel/placement";
import { setImmediate as nextTurn } from "node:timers/promises";
import { routeContent } from "../../desired-state/test/stateContent.js";
import { newHost, newTarget } from "../../placement/test/fixtures.js";
import { createTargetReach } from "../src/createTargetReach.js";
import type { Dialect } from "../src/dialect.js";
import { GatewayMetrics } from "../src/gatewayMetrics.js";
import type { RelayedRequest } from "../src/relayedRequest.js";
import { RequestRelay } from "../src/requestRelay.js";
import type { TargetConnectionPools } from "../src/targetConnectionPools.js";
import { MeshStandIn } from "./meshStandIn.js";
import { newRequestPlacement } from "./newRequestPlacement.js";

export const TARGET_IDS = ["t1", "t2", "t3", "t4"];

interface EvidenceHostOptions {
    readonly hostId: string;
    readonly availabilityZone?: string;
    readonly clock: { now: number; };
    /** Ids of the targets that do not respond to this host; requests to them are lost. */
    readonly lost: Set<string>;
}

/** A host that sends requests to targets in memory. */
export function newEvidenceHost({ hostId, availabilityZone = "n-a", clock, lost }: EvidenceHostOptions) {
    const targets = TARGET_IDS.map(id => newTarget(id));
    const state = newHost({ clock, targets, hostId });
    const mesh = new MeshStandIn({ hostId, incarnation: "1", availabilityZone, region: "north" });
    const logger = new Logger("evidence-test", { write: () => undefined });
    const now = () => clock.now;
    const connectionPools = {
        poolOf: ({ id }: Target) => ({
            exchange: () =>
                Promise.resolve(
                    lost.has(id)
                        ? { end: "lost", reason: "reset" }
                        : {
                            end: "answered",
                            response: { status: 200, headers: [], body: Buffer.alloc(0), isFramed: true },
                        },
                ),
            probe: () => Promise.resolve(!lost.has(id)),
            ping: () => Promise.resolve(!lost.has(id)),
            closeIdle: () => undefined,
        }),
    } as unknown as TargetConnectionPools;
    const dialect = {
        targetHeaders: () => [],
        pingRequest: () => ({ id: "ping", method: "GET", path: "/", headers: [], body: undefined }),
        interpretResponse: () => ({ statement: undefined, outcome: "result" }),
    } as unknown as Dialect;
    const reach = createTargetReach({
        targets: state,
        connectionPools,
        dialect,
        mesh,
        availabilityZone,
        onChange: () => undefined,
        logger,
        now,
        signal: new AbortController().signal,
    });
    const relay = new RequestRelay({
        ...state,
        placement: newRequestPlacement({ state, dialect, connectionPools, reach, now }),
        connectionPools,
        detour: { send: () => Promise.resolve(undefined) },
        metrics: new GatewayMetrics(),
        reach,
        suspects: new CrashSuspects({ hostId, mesh, observe: () => undefined, now }),
        retryBudget: () => new RetryBudget({ now }),
        endsAt: () => Infinity,
        logger,
        now,
    });
    return { mesh, reach, relay, clock };
}

type EvidenceHost = ReturnType<typeof newEvidenceHost>;

/** Sends a request that must run once; resolves to the name of the failure, or "served". */
export async function order({ relay, clock }: EvidenceHost): Promise<string> {
    const request: RelayedRequest = {
        id: "r1",
        method: "POST",
        url: "/order",
        rawHeaders: [],
        body: undefined,
        route: { ...routeContent(), isIdempotent: false },
        service: "svc",
        workspace: undefined,
        object: undefined,
        objectiveAt: clock.now + 250,
        deadlineAt: clock.now + 2_000,
        isDetoured: false,
    };
    const result = await relay.run(request, new AbortController().signal);
    return "failure" in result ? result.failure.code : "served";
}

/** Sends as many requests as there are targets, so that two of them lose theirs. */
export async function loseTargets(host: EvidenceHost): Promise<void> {
    for (let sent = 0; sent < TARGET_IDS.length; sent++) {
        await order(host);
        await settle();
    }
}

/** Lets messages between the hosts be handled. */
export async function settle(): Promise<void> {
    for (let turn = 0; turn < 10; turn++) {
        await nextTurn();
    }
}
