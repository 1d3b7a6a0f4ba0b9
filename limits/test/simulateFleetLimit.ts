import { ReplicatedTokenBucket } from "../src/replicatedTokenBucket.js";
import { seededRandom } from "./seededRandom.js";

const DEFAULT_RATE = 100;
const WINDOW_MS = 5_000;
const MS_PER_SECOND = 1_000;

interface Scenario {
    readonly hosts: number;
    readonly demandPerSecond: number;
    /** Interval between the reports of a host, in ms. */
    readonly reportMs?: number;
    /** Time that a report takes to the other hosts, which it reaches through relays in a large fleet, in ms. */
    readonly delayMs?: number;
    readonly isPartitioned?: boolean;
    /** Requests per second of the workspace, which is also its burst. */
    readonly rate?: number;
}

interface Outcome {
    readonly requested: number;
    readonly admitted: number;
    /** Most admitted within one window. */
    readonly mostAdmitted: number;
    /** Number that the users tolerate within a window: the limit plus 10 % plus 20. */
    readonly mostTolerated: number;
}

interface Report {
    readonly peer: number;
    readonly increase: { readonly requested: number; readonly taken: number; };
    readonly arrivesAt: number;
}

/**
 * Requests of one workspace that hosts with replicated token buckets admit. Demand is 60 % of the rate, and
 * `demandPerSecond` from 4 s on.
 */
export function simulateFleetLimit(
    { hosts, demandPerSecond, reportMs = 240, delayMs = 0, isPartitioned = false, rate = DEFAULT_RATE }: Scenario,
): Outcome {
    const clock = { now: 0 };
    const random = seededRandom(11);
    const buckets = Array.from({ length: hosts }, () => new ReplicatedTokenBucket({ now: () => clock.now, random }));
    const reportsUnderway: Report[] = [];
    const connectedHosts = isPartitioned ? 1 : hosts;
    buckets.forEach(bucket => bucket.resize({ rate, burst: rate, share: connectedHosts / hosts }));
    const admittedAt: number[] = [];
    const reported = buckets.map(() => ({ requested: 0, taken: 0 }));
    let pendingRequests = 0;
    let hostSequence = 0;
    let requested = 0;
    for (; clock.now < 14_000; clock.now += 10) {
        for (
            pendingRequests += (clock.now < 4_000 ? rate * 0.6 : demandPerSecond) / 100;
            pendingRequests >= 1;
            pendingRequests--
        ) {
            requested++;
            hostSequence = (hostSequence * 31 + 7) % 9_973;
            if (buckets[hostSequence % hosts]?.tryTake()) {
                admittedAt.push(clock.now);
            }
        }
        buckets.forEach((bucket, peer) => {
            const isDue = (clock.now + peer * 10) % reportMs < 10;
            if (isDue && !isPartitioned) {
                const { requested, taken } = bucket.collectUse();
                const before = reported[peer]!;
                const increase = { requested: requested - before.requested, taken: taken - before.taken };
                reported[peer] = { requested, taken };
                reportsUnderway.push({ peer, increase, arrivesAt: clock.now + delayMs });
            }
        });
        while (reportsUnderway[0] !== undefined && reportsUnderway[0].arrivesAt <= clock.now) {
            const { peer, increase } = reportsUnderway.shift()!;
            buckets.forEach((other, index) => index === peer || other.recordOthersUse(increase));
        }
    }
    const mostAdmitted = Math.max(
        0,
        ...admittedAt.map(start => admittedAt.filter(at => at >= start && at < start + WINDOW_MS).length),
    );
    const mostTolerated = (rate * WINDOW_MS / MS_PER_SECOND + rate) * 1.1 + 20;
    return { requested, admitted: admittedAt.length, mostAdmitted, mostTolerated };
}
