import { type LimitHeadroom, ReplicatedTokenBucket } from "./replicatedTokenBucket.js";

interface ReplicatedLimitsOptions {
    /** Number of hosts whose use is known, this host included, and number of all hosts. */
    readonly hosts: () => { readonly linked: number; readonly total: number; };
    /** Monotonic time in ms. */
    readonly now: () => number;
    /** Random numbers from 0 to below 1; `Math.random` by default. */
    readonly random?: () => number;
}

interface FleetLimit {
    /** Tokens per second over all hosts. */
    readonly rate: number;
    /** Tokens that may be taken at once over all hosts. */
    readonly burst: number;
    /** See `ReplicatedTokenBucket.resize`. */
    readonly thinningMargin?: number;
    /** None by default. */
    readonly headroom?: LimitHeadroom;
}

interface LimitStart {
    /** Tokens requested by all hosts in the last seconds, as far as this host can tell; none by default. */
    readonly recentDemand?: number;
    /** Time until this host may take its first token, in ms; without it the bucket starts half full. */
    readonly delayMs?: number;
}

interface Replica {
    readonly bucket: ReplicatedTokenBucket;
    limit: FleetLimit;
}

/** Tokens requested and taken. */
type Use = readonly [requested: number, taken: number];

/** Tokens and requests per second of all hosts, as known to a host. */
type LimitState = readonly [tokens: number, demand: number];

interface ReceivedStates {
    readonly states: Readonly<Record<string, LimitState>>;
    /** Monotonic time in ms. */
    readonly at: number;
}

/** States of limits that are older than this are of no use to a limit that is added. */
const MAX_STATE_AGE_MS = 2_000;

/** Rate limits over all hosts, by name. Each host has a replica of each limit. */
export class ReplicatedLimits {
    private readonly replicas = new Map<string, Replica>();
    private received: ReceivedStates | undefined;

    constructor(private readonly opts: ReplicatedLimitsOptions) {}

    /** Adds or changes a limit. `start` applies only to a limit that is new. */
    set(name: string, limit: FleetLimit, start: LimitStart = {}): void {
        const known = this.replicas.get(name);
        if (known === undefined) {
            const { now, random } = this.opts;
            const replica = { bucket: new ReplicatedTokenBucket({ now, random }), limit };
            this.replicas.set(name, replica);
            this.resizeReplica(replica);
            replica.bucket.start(start);
            this.adoptState(name, replica);
        }
        else if (known.limit.rate !== limit.rate || known.limit.burst !== limit.burst) {
            known.limit = limit;
            this.resizeReplica(known);
        }
    }

    /** Removes the limits whose names do not meet the condition. */
    retain(isKept: (name: string) => boolean): void {
        [...this.replicas.keys()].filter(name => !isKept(name)).forEach(name => this.replicas.delete(name));
    }

    /** Adjusts this host's share of all limits. To be called when links open or close, or the list of hosts changes. */
    resize(): void {
        this.replicas.forEach(replica => this.resizeReplica(replica));
    }

    /** Takes a token of the limit, if there is one; a name without a limit always has one. */
    tryTake(name: string): boolean {
        return this.replicas.get(name)?.bucket.tryTake() ?? true;
    }

    /** Time until the limit may have a token, in ms. */
    waitMs(name: string): number {
        return this.replicas.get(name)?.bucket.waitMs ?? 0;
    }

    /** Tokens that this host has requested and taken since the limit was added, by name, to be sent to other hosts. */
    usage(): Record<string, Use> {
        return Object.fromEntries(
            [...this.replicas].map(([name, { bucket }]): [string, Use] => {
                const { requested, taken } = bucket.collectUse();
                return [name, [requested, taken]];
            }),
        );
    }

    /** Takes into account further tokens that other hosts have requested and taken. */
    recordOthersUsage(increases: ReadonlyMap<string, Use>): void {
        for (const [name, [requested, taken]] of increases) {
            this.replicas.get(name)?.bucket.recordOthersUse({ requested, taken });
        }
    }

    /** States of the limits that this host has known for some time, to be sent to hosts that have just started. */
    get states(): Record<string, LimitState> {
        return Object.fromEntries(
            [...this.replicas].flatMap(([name, { bucket: { state } }]) =>
                state === undefined ? [] : [[name, [Math.floor(state.tokens), Math.ceil(state.demand)] as const]]
            ),
        );
    }

    /** Takes over the states of another host for the limits that this host has just added, or is about to. */
    adoptStates(states: Readonly<Record<string, LimitState>>): void {
        this.received = { states, at: this.opts.now() };
        this.replicas.forEach((replica, name) => this.adoptState(name, replica));
    }

    private adoptState(name: string, { bucket }: Replica): void {
        const { received } = this;
        const state = received?.states[name];
        if (state !== undefined && this.opts.now() - received!.at <= MAX_STATE_AGE_MS) {
            bucket.adopt({ tokens: state[0], demand: state[1] });
        }
    }

    private resizeReplica({ bucket, limit }: Replica): void {
        const { linked, total } = this.opts.hosts();
        bucket.resize({ ...limit, share: Math.min(1, linked / total) });
    }
}
