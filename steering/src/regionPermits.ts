import type { PeerIdentity, PeerMesh, PeerMessage } from "@pistachioreel/peering";
import { z } from "zod";
import { BorrowedPermits } from "./borrowedPermits.js";
import { OwnedPermits } from "./ownedPermits.js";

interface RegionPermitsOptions {
    readonly hostId: string;
    readonly incarnation: string;
    readonly region: string;
    readonly mesh: PeerMesh;
    /** Whether requests of this host may run in its own region without a permit. */
    readonly isUncapped: () => boolean;
    /** Number of a region's permits that this host owns; 0 for regions whose permits other hosts own. */
    readonly ownedPermits: (region: string) => number;
    /** Hosts that own permits of a region. */
    readonly ownersOf: (region: string) => readonly string[];
    /** Other hosts that may hold grants of an earlier process of this host; `undefined` while they are unknown. */
    readonly possibleHolders: () => readonly string[] | undefined;
    /** Longest time in ms that a request may run. */
    readonly maxRunMs: () => number;
    /** Called when permits may have become available or were refused. */
    readonly onChange: () => void;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

const REQUEST_TYPE = "permit-request";
const GRANT_TYPE = "permit-grant";
const RETURN_TYPE = "permit-return";
const HELD_TYPE = "permits-held";
/**
 * Time in which a borrower may start requests under a grant. It counts from when the borrower sent its request, so it
 * ends before the owner may lend the permits again, however late the grant arrives.
 */
const START_WINDOW_MS = 2_000;
/** The clock rates of two hosts may differ by up to this factor. */
const MAX_CLOCK_RATE_RATIO = 1.1;
const REPLY_TIMEOUT_MS = 1_000;
/** A host that granted nothing gets no further request for the same region within this time. */
const REFUSAL_BACKOFF_MS = 50;
const TICK_INTERVAL_MS = 20;
const MAX_PERMITS_PER_REQUEST = 16;
/** While requests use borrowed permits of a region, more are requested about this long before a start window ends. */
const RENEWAL_LEAD_MS = 500;

const requestSchema = z.object({ region: z.string(), wanted: z.number().int().positive() });
const grantSchema = z.object({ id: z.string(), count: z.number().int().nonnegative() });
const returnSchema = z.object({ region: z.string(), id: z.string(), returned: z.number().int().nonnegative() });
const heldSchema = z.object({
    grants: z.array(z.object({ id: z.string(), region: z.string(), count: z.number().int().nonnegative() })),
});

/** Limits the running requests of regions: the hosts of a region own equal parts of its cap and lend permits. */
export class RegionPermits {
    private readonly owned = new Map<string, OwnedPermits>();
    private readonly borrowed: BorrowedPermits;
    private readonly pendingRegions = new Set<string>();
    private readonly refusedAt = new Map<string, number>();
    private readonly reconciledHosts = new Set<string>();
    private readonly startedAt: number;
    private sequence = 0;
    private requestCount = 0;

    constructor(private readonly opts: RegionPermitsOptions) {
        const { mesh, now } = opts;
        this.startedAt = now();
        this.borrowed = new BorrowedPermits(now, ({ owner, region, id, returned }) => {
            mesh.send(owner, { type: RETURN_TYPE, region, id, returned });
        });
        mesh.registerHandler(REQUEST_TYPE, (from, message) => this.handleRequest(from, message));
        mesh.registerHandler(RETURN_TYPE, (_, message) => this.handleReturn(message));
        mesh.registerHandler(HELD_TYPE, from => this.handleHeldQuery(from));
    }

    /** Returns and reconciles permits periodically until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const timer = setInterval(() => this.tick(), TICK_INTERVAL_MS);
        await new Promise<void>(resolve => signal.addEventListener("abort", () => resolve(), { once: true }));
        clearInterval(timer);
    }

    /** Returns unused permits and, after a start, queries peers for the permits that they hold of this host. */
    tick(): void {
        this.borrowed.returnUnused();
        if (!this.isReconciled()) {
            const pending = this.opts.mesh.peers().filter(({ hostId }) => !this.reconciledHosts.has(hostId));
            pending.forEach(({ hostId }) => void this.queryHeld(hostId));
        }
    }

    /** Whether a request may start in the region now. */
    hasPermit(region: string): boolean {
        return this.needsNoPermit(region) || this.ownedPermitsOf(region).available > 0
            || this.borrowed.unusedFor(region) > 0;
    }

    /** Whether a request for permits is pending or can be sent, so that waiting for a permit is worthwhile. */
    canRequest(region: string): boolean {
        return this.pendingRegions.has(region) || this.availableOwners(region).length > 0;
    }

    /** Acquires a permit. Returns its release function, or `undefined` if there is none. */
    acquire(region: string): (() => void) | undefined {
        const owned = this.ownedPermitsOf(region);
        if (this.needsNoPermit(region) || owned.available > 0) {
            owned.acquireLocal();
            return once(() => owned.releaseLocal());
        }
        const release = this.borrowed.acquire(region);
        return release && once(release);
    }

    /** Requests permits from one of the region's owners, in rotation, unless a request is pending. */
    requestPermits(region: string): void {
        const owners = this.availableOwners(region);
        const owner = owners[this.requestCount++ % Math.max(1, owners.length)];
        if (owner !== undefined && !this.pendingRegions.has(region)) {
            this.pendingRegions.add(region);
            void this.borrow(region, owner);
        }
    }

    private needsNoPermit(region: string): boolean {
        return region === this.opts.region && this.opts.isUncapped();
    }

    /** Owners with an open link that have not refused recently. */
    private availableOwners(region: string): string[] {
        const owners = new Set(this.opts.ownersOf(region));
        const since = this.opts.now() - REFUSAL_BACKOFF_MS;
        return this.opts.mesh.peers().map(peer => peer.hostId)
            .filter(hostId => owners.has(hostId) && (this.refusedAt.get(`${region} ${hostId}`) ?? -Infinity) < since);
    }

    private async borrow(region: string, owner: string): Promise<void> {
        const sentAt = this.opts.now();
        const wanted = Math.min(MAX_PERMITS_PER_REQUEST, 1 + Math.floor(this.borrowed.inUseFor(region) / 4));
        const reply = await this.opts.mesh.request(owner, { type: REQUEST_TYPE, region, wanted }, REPLY_TIMEOUT_MS);
        const grant = grantSchema.safeParse(reply.isOk() ? reply.value : undefined);
        this.pendingRegions.delete(region);
        if (grant.success && grant.data.count > 0) {
            this.borrowed.add({ ...grant.data, owner, region, startBy: sentAt + START_WINDOW_MS });
            setTimeout(() => this.renew(region), START_WINDOW_MS - RENEWAL_LEAD_MS).unref();
        }
        else {
            this.refusedAt.set(`${region} ${owner}`, this.opts.now());
        }
        this.opts.onChange();
    }

    private renew(region: string): void {
        if (this.borrowed.inUseFor(region) > 0) {
            this.requestPermits(region);
        }
    }

    private handleRequest(from: PeerIdentity, message: PeerMessage): PeerMessage {
        const request = requestSchema.safeParse(message);
        const id = `${this.opts.incarnation}/${++this.sequence}`;
        if (!request.success) {
            return { type: GRANT_TYPE, id, count: 0 };
        }
        const { region, wanted } = request.data;
        const count = this.ownedPermitsOf(region).lend(id, wanted, from.region === region);
        return { type: GRANT_TYPE, id, count };
    }

    private handleReturn(message: PeerMessage): void {
        const permits = returnSchema.safeParse(message);
        if (permits.success) {
            this.ownedPermitsOf(permits.data.region).recordReturn(permits.data.id, permits.data.returned);
            this.opts.onChange();
        }
    }

    private handleHeldQuery(from: PeerIdentity): PeerMessage {
        return { type: HELD_TYPE, grants: this.borrowed.reconcileGrantsOf(from.hostId) };
    }

    private async queryHeld(hostId: string): Promise<void> {
        const reply = await this.opts.mesh.request(hostId, { type: HELD_TYPE }, REPLY_TIMEOUT_MS);
        const held = heldSchema.safeParse(reply.isOk() ? reply.value : undefined);
        if (held.success) {
            held.data.grants.forEach(({ id, region, count }) => this.ownedPermitsOf(region).adopt(id, count));
            this.reconciledHosts.add(hostId);
            this.opts.onChange();
        }
    }

    /** Whether all grants of this host's earlier processes are known or expired; it owns no permits before that. */
    private isReconciled(): boolean {
        const holders = this.opts.possibleHolders();
        return this.opts.now() - this.startedAt > this.maxHoldMs()
            || (holders !== undefined && holders.every(hostId => this.reconciledHosts.has(hostId)));
    }

    private maxHoldMs(): number {
        return (START_WINDOW_MS + this.opts.maxRunMs()) * MAX_CLOCK_RATE_RATIO;
    }

    private ownedPermitsOf(region: string): OwnedPermits {
        let permits = this.owned.get(region);
        if (permits === undefined) {
            permits = new OwnedPermits({
                capacity: () => this.isReconciled() ? this.opts.ownedPermits(region) : 0,
                maxHoldMs: () => this.maxHoldMs(),
                now: this.opts.now,
            });
            this.owned.set(region, permits);
        }
        return permits;
    }
}

function once(release: () => void): () => void {
    let isReleased = false;
    return () => {
        if (!isReleased) {
            isReleased = true;
            release();
        }
    };
}
