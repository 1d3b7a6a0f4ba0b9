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
    /** Permits of a region that this host owns by its share; 0 for regions whose permits other hosts own. */
    readonly ownedPermits: (region: string) => number;
    /** Hosts that own permits of a region. */
    readonly ownersOf: (region: string) => readonly string[];
    /** All other hosts that may hold grants of an earlier process of this host; `undefined` while they are not known. */
    readonly possibleHolders: () => readonly string[] | undefined;
    /** Longest time that a request may run, in ms. */
    readonly maxRunMs: () => number;
    /** Called when permits may have become available or were refused. */
    readonly onChange: () => void;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

const REQUEST = "permit-request";
const GRANT = "permit-grant";
const RETURN = "permit-return";
const HELD = "permits-held";
/** A borrower may start requests with a grant for this time in ms after it SENT its request. */
const START_WINDOW_MS = 2_000;
/** Clocks of two hosts may run at rates that differ by up to this factor. */
const CLOCK_MARGIN = 1.1;
const ANSWER_TIMEOUT_MS = 1_000;
/** A host that granted nothing is not asked for the same region again for this time in ms. */
const REFUSED_MS = 50;
const TICK_MS = 20;
const MAX_WANTED = 16;
/** Held permits that lapse within this time in ms are renewed before they are needed. */
const RENEW_MS = 500;

const requestSchema = z.object({ region: z.string(), wanted: z.number().int().positive() });
const grantSchema = z.object({ id: z.string(), count: z.number().int().nonnegative() });
const returnSchema = z.object({ region: z.string(), id: z.string(), returned: z.number().int().nonnegative() });
const heldSchema = z.object({
    grants: z.array(z.object({ id: z.string(), region: z.string(), count: z.number().int().nonnegative() })),
});

/** Permits to run requests in regions: the hosts of a region own equal parts of its cap and lend them. */
export class RegionPermits {
    private readonly owned = new Map<string, OwnedPermits>();
    private readonly holdings: BorrowedPermits;
    private readonly asking = new Set<string>();
    private readonly refusedAt = new Map<string, number>();
    private readonly heardFrom = new Set<string>();
    private readonly startedAt: number;
    private sequence = 0;
    private turn = 0;

    constructor(private readonly opts: RegionPermitsOptions) {
        const { mesh, now } = opts;
        this.startedAt = now();
        this.holdings = new BorrowedPermits(now, ({ owner, region, id, returned }) => {
            mesh.send(owner, { type: RETURN, region, id, returned });
        });
        mesh.registerHandler(REQUEST, (from, message) => this.answerRequest(from, message));
        mesh.registerHandler(RETURN, (_, message) => this.takeBack(message));
        mesh.registerHandler(HELD, from => this.answerHeld(from));
    }

    /** Keeps grants moving until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        const timer = setInterval(() => this.tick(), TICK_MS);
        await new Promise<void>(resolve => signal.addEventListener("abort", () => resolve(), { once: true }));
        clearInterval(timer);
    }

    tick(): void {
        this.holdings.returnUnused();
        if (!this.isHeard()) {
            const unheard = this.opts.mesh.peers().filter(({ hostId }) => !this.heardFrom.has(hostId));
            unheard.forEach(({ hostId }) => void this.askHeld(hostId));
        }
    }

    /** Whether a request may start in the region now. */
    hasPermit(region: string): boolean {
        return this.needsNone(region) || this.ownerOf(region).available > 0 || this.holdings.unusedFor(region) > 0;
    }

    /** Whether it makes sense to wait for a permit. */
    canRequest(region: string): boolean {
        return this.asking.has(region) || this.askableOwners(region).length > 0;
    }

    /** Takes a permit; returns the function that gives it back, or `undefined` if there is none. */
    acquire(region: string): (() => void) | undefined {
        const owner = this.ownerOf(region);
        if (this.needsNone(region) || owner.available > 0) {
            owner.takeLocal();
            return once(() => owner.releaseLocal());
        }
        const release = this.holdings.take(region);
        return release && once(release);
    }

    /** Asks one of the region's hosts for permits, unless a request is on its way. */
    requestPermits(region: string): void {
        const owners = this.askableOwners(region);
        const owner = owners[this.turn++ % Math.max(1, owners.length)];
        if (owner !== undefined && !this.asking.has(region)) {
            this.asking.add(region);
            void this.borrow(region, owner);
        }
    }

    private needsNone(region: string): boolean {
        return region === this.opts.region && this.opts.isUncapped();
    }

    /** Owners with a link that have not just refused. */
    private askableOwners(region: string): string[] {
        const owners = new Set(this.opts.ownersOf(region));
        const since = this.opts.now() - REFUSED_MS;
        return this.opts.mesh.peers().map(peer => peer.hostId)
            .filter(hostId => owners.has(hostId) && (this.refusedAt.get(`${region} ${hostId}`) ?? -Infinity) < since);
    }

    private async borrow(region: string, owner: string): Promise<void> {
        const sentAt = this.opts.now();
        const wanted = Math.min(MAX_WANTED, 1 + Math.floor(this.holdings.inUseFor(region) / 4));
        const answer = await this.opts.mesh.request(owner, { type: REQUEST, region, wanted }, ANSWER_TIMEOUT_MS);
        const grant = grantSchema.safeParse(answer.isOk() ? answer.value : undefined);
        this.asking.delete(region);
        if (grant.success && grant.data.count > 0) {
            this.holdings.add({ ...grant.data, owner, region, startBy: sentAt + START_WINDOW_MS });
            setTimeout(() => this.renew(region), START_WINDOW_MS - RENEW_MS).unref();
        }
        else {
            this.refusedAt.set(`${region} ${owner}`, this.opts.now());
        }
        this.opts.onChange();
    }

    private renew(region: string): void {
        if (this.holdings.inUseFor(region) > 0) {
            this.requestPermits(region);
        }
    }

    private answerRequest(from: PeerIdentity, message: PeerMessage): PeerMessage {
        const request = requestSchema.safeParse(message);
        const id = `${this.opts.incarnation}/${++this.sequence}`;
        if (!request.success) {
            return { type: GRANT, id, count: 0 };
        }
        const { region, wanted } = request.data;
        const count = this.ownerOf(region).lend(id, wanted, from.region === region);
        return { type: GRANT, id, count };
    }

    private takeBack(message: PeerMessage): void {
        const permits = returnSchema.safeParse(message);
        if (permits.success) {
            this.ownerOf(permits.data.region).takeBack(permits.data.id, permits.data.returned);
            this.opts.onChange();
        }
    }

    private answerHeld(from: PeerIdentity): PeerMessage {
        return { type: HELD, grants: this.holdings.heldOf(from.hostId) };
    }

    private async askHeld(hostId: string): Promise<void> {
        const answer = await this.opts.mesh.request(hostId, { type: HELD }, ANSWER_TIMEOUT_MS);
        const held = heldSchema.safeParse(answer.isOk() ? answer.value : undefined);
        if (held.success) {
            held.data.grants.forEach(({ id, region, count }) => this.ownerOf(region).adopt(id, count));
            this.heardFrom.add(hostId);
            this.opts.onChange();
        }
    }

    /** A started host owns permits once nobody can hold grants of its predecessor that it does not know. */
    private isHeard(): boolean {
        const holders = this.opts.possibleHolders();
        return this.opts.now() - this.startedAt > this.maxHoldMs()
            || (holders !== undefined && holders.every(hostId => this.heardFrom.has(hostId)));
    }

    private maxHoldMs(): number {
        return (START_WINDOW_MS + this.opts.maxRunMs()) * CLOCK_MARGIN;
    }

    private ownerOf(region: string): OwnedPermits {
        let owner = this.owned.get(region);
        if (owner === undefined) {
            owner = new OwnedPermits({
                capacity: () => this.isHeard() ? this.opts.ownedPermits(region) : 0,
                maxHoldMs: () => this.maxHoldMs(),
                now: this.opts.now,
            });
            this.owned.set(region, owner);
        }
        return owner;
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
