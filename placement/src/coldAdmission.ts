import { createHash } from "node:crypto";
import type { Target } from "./target.js";

interface ColdAdmissionOptions {
    readonly hostId: string;
    /** All hosts that may send requests, this one included. */
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
export class ColdAdmission {
    private readonly nextAt = new Map<string, number>();

    constructor(private readonly opts: ColdAdmissionOptions) {}

    /** Whether this host may send the cold target a request now. */
    mayUse(target: Target): boolean {
        return (this.nextAt.get(target.id) ?? 0) <= this.opts.now() && this.isChosen(target);
    }

    note(target: Target): void {
        this.nextAt.set(target.id, this.opts.now() + INTERVAL_MS);
    }

    private isChosen({ id, service }: Target): boolean {
        const count = Math.floor(this.opts.limitOf(service) * USED_SHARE / REQUESTS_PER_HOST);
        const hosts = this.opts.hostIds();
        if (hosts.length <= count) {
            return true;
        }
        const rank = (host: string) => createHash("md5").update(`${host}\n${id}`).digest("hex");
        const own = rank(this.opts.hostId);
        return hosts.filter(host => rank(host) > own).length < count;
    }
}
