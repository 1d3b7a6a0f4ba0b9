import { rankHosts } from "@pistachioreel/membership";
import type { Target } from "./target.js";

interface ColdTargetLimiterOptions {
    readonly hostId: string;
    /** Ids of all hosts that send requests, including this one. A changed list must be a new array. */
    readonly hostIds: () => readonly string[];
    /** Maximum requests per second to a cold target of the service, over all hosts. */
    readonly limitOf: (service: string) => number;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Most requests that an assigned host can send in any one-second window, which may contain two of its send times. */
const REQUESTS_PER_HOST = 2;
const SEND_INTERVAL_MS = 1_000;
/** Share of the limit that is used; hosts can temporarily have different views of the host list. */
const LIMIT_SAFETY_FACTOR = 0.8;

/**
 * Limits the request rate to cold targets, as a higher rate can crash them. Needs no coordination between hosts:
 * rendezvous hashing assigns a few hosts to each cold target, and each of them sends it at most one request per second.
 */
export class ColdTargetLimiter {
    private readonly nextSendAt = new Map<string, number>();
    private readonly ranksByTarget = new Map<string, number>();
    private rankedHosts: readonly string[] = [];

    constructor(private readonly opts: ColdTargetLimiterOptions) {}

    /** Whether this host may send a request to the cold target now. */
    canSend(target: Target): boolean {
        return (this.nextSendAt.get(target.id) ?? 0) <= this.opts.now() && this.isAssigned(target);
    }

    /** Records that a request is being sent to the cold target. */
    recordSent(target: Target): void {
        this.nextSendAt.set(target.id, this.opts.now() + SEND_INTERVAL_MS);
    }

    private isAssigned({ id, service }: Target): boolean {
        const count = Math.floor(this.opts.limitOf(service) * LIMIT_SAFETY_FACTOR / REQUESTS_PER_HOST);
        return this.rankOf(id) < count;
    }

    /** Position of this host in the target's rendezvous ranking of hosts. */
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
