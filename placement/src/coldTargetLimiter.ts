import { rankHosts } from "@pistachioreel/membership";
import type { Target } from "./target.js";

interface ColdTargetLimiterOptions {
    readonly hostId: string;
    /** All hosts that may send requests, this one included; another list is another array. */
    readonly hostIds: () => readonly string[];
    /** Requests that a cold target of the service may get in one second, from all hosts together. */
    readonly limitOf: (service: string) => number;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Requests that one chosen host may send within any second: one at once and one by the rate of one a second. */
const REQUESTS_PER_HOST = 2;
const SEND_INTERVAL_MS = 1_000;
/** Part of the limit that is used, as hosts may for a time disagree on who the hosts are. */
const LIMIT_SAFETY_FACTOR = 0.8;

/**
 * Limits what cold targets get without a message between hosts: rendezvous hashing names the few hosts that may use a
 * cold target, and each of them sends it one request a second.
 */
export class ColdTargetLimiter {
    private readonly nextSendAt = new Map<string, number>();
    private readonly ranksByTarget = new Map<string, number>();
    private rankedHosts: readonly string[] = [];

    constructor(private readonly opts: ColdTargetLimiterOptions) {}

    /** Whether this host may send the cold target a request now. */
    canSend(target: Target): boolean {
        return (this.nextSendAt.get(target.id) ?? 0) <= this.opts.now() && this.isAssigned(target);
    }

    /** Takes note of a request that is sent to the cold target. */
    recordSent(target: Target): void {
        this.nextSendAt.set(target.id, this.opts.now() + SEND_INTERVAL_MS);
    }

    private isAssigned({ id, service }: Target): boolean {
        const count = Math.floor(this.opts.limitOf(service) * LIMIT_SAFETY_FACTOR / REQUESTS_PER_HOST);
        return this.rankOf(id) < count;
    }

    /** Position of this host among the hosts that may use the target. */
    private rankOf(targetId: string): number {
        const hosts = this.opts.hostIds();
        if (hosts !== this.rankedHosts) {
            this.rankedHosts = hosts;
            this.ranksByTarget.clear();
        }
        let rank = this.ranksByTarget.get(targetId);
        if (rank === undefined) {
            rank = rankHosts(targetId, hosts).indexOf(this.opts.hostId);
            this.ranksByTarget.set(targetId, rank);
        }
        return rank;
    }
}
