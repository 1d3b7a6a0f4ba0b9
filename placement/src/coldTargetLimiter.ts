import { rankHosts } from "@pistachioreel/membership";
import type { Target } from "./target.js";

interface ColdAdmissionOptions {
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
const INTERVAL_MS = 1_000;
/** Part of the limit that is used, as hosts may for a time disagree on who the hosts are. */
const USED_SHARE = 0.8;

/**
 * Limits what cold targets get without a message between hosts: rendezvous hashing names the few hosts that may use a
 * cold target, and each of them sends it one request a second.
 */
export class ColdTargetLimiter {
    private readonly nextAt = new Map<string, number>();
    private readonly ranks = new Map<string, number>();
    private rankedHosts: readonly string[] = [];

    constructor(private readonly opts: ColdAdmissionOptions) {}

    /** Whether this host may send the cold target a request now. */
    canSend(target: Target): boolean {
        return (this.nextAt.get(target.id) ?? 0) <= this.opts.now() && this.isChosen(target);
    }

    /** Takes note of a request that is sent to the cold target. */
    recordSent(target: Target): void {
        this.nextAt.set(target.id, this.opts.now() + INTERVAL_MS);
    }

    private isChosen({ id, service }: Target): boolean {
        const count = Math.floor(this.opts.limitOf(service) * USED_SHARE / REQUESTS_PER_HOST);
        return this.rankFor(id) < count;
    }

    /** Position of this host among the hosts that may use the target. */
    private rankFor(targetId: string): number {
        const hosts = this.opts.hostIds();
        if (hosts !== this.rankedHosts) {
            this.rankedHosts = hosts;
            this.ranks.clear();
        }
        let rank = this.ranks.get(targetId);
        if (rank === undefined) {
            rank = rankHosts(targetId, hosts).indexOf(this.opts.hostId);
            this.ranks.set(targetId, rank);
        }
        return rank;
    }
}
