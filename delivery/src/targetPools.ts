import { Pool } from "undici";

interface TargetAddress {
    readonly id: string;
    /** Number of connections that the target accepts from all hosts together. */
    readonly connections: number;
}

interface TargetPoolsOptions {
    /** Timeout for opening a connection to a target, in ms. */
    readonly connectTimeoutMs?: number;
    /** Number of hosts that share the connections of a target; 1 by default. */
    readonly hostCount?: () => number;
}

interface TargetPool {
    readonly pool: Pool;
    readonly connections: number;
    consecutiveTimeouts: number;
    /** Monotonic time in ms until which a connection to the target serves only one request. */
    noReuseUntil: number;
}

const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
/** Connections that were idle for longer may be dead without having been closed; a new one takes about 1 ms. */
const MAX_IDLE_MS = 2_000;
const MAX_CONSECUTIVE_TIMEOUTS = 3;
/** A target that sent an unsolicited response may do so again while another request uses the connection. */
const NO_REUSE_MS = 600_000;

/** Connection pools, one for each target in use. */
export class TargetPools {
    private readonly pools = new Map<string, TargetPool>();

    constructor(private readonly opts: TargetPoolsOptions = {}) {}

    /** The target's pool. It is replaced when the number of connections that this host may open changes. */
    poolOf(target: TargetAddress): Pool {
        const connections = Math.max(1, Math.floor(target.connections / Math.max(1, this.opts.hostCount?.() ?? 1)));
        const existing = this.pools.get(target.id);
        if (existing?.connections === connections) {
            return existing.pool;
        }
        this.closePool(target.id);
        const pool = new Pool(`http://${target.id}`, {
            connections,
            pipelining: 1,
            headersTimeout: 0,
            bodyTimeout: 0,
            keepAliveTimeout: MAX_IDLE_MS,
            keepAliveMaxTimeout: MAX_IDLE_MS,
            connect: { timeout: this.opts.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS },
        });
        const entry: TargetPool = { pool, connections, consecutiveTimeouts: 0, noReuseUntil: 0 };
        pool.on("disconnect", (_origin, _targets, error) => {
            if (error.name === "HTTPParserError") {
                this.recordStrayResponse(target.id);
            }
        });
        this.pools.set(target.id, entry);
        return pool;
    }

    /** Whether connections to the target may be reused for another request after a response. */
    canReuse(targetId: string): boolean {
        return (this.pools.get(targetId)?.noReuseUntil ?? 0) <= performance.now();
    }

    /** Records a response that belongs to no request or to another one; stops reuse of the target's connections. */
    recordStrayResponse(targetId: string): void {
        const entry = this.pools.get(targetId);
        if (entry !== undefined) {
            entry.noReuseUntil = performance.now() + NO_REUSE_MS;
        }
    }

    /** Records whether an attempt timed out. Returns whether the target's connections were dropped as a result. */
    recordAttempt(targetId: string, timedOut: boolean): boolean {
        const entry = this.pools.get(targetId);
        if (entry === undefined) {
            return false;
        }
        entry.consecutiveTimeouts = timedOut ? entry.consecutiveTimeouts + 1 : 0;
        if (entry.consecutiveTimeouts < MAX_CONSECUTIVE_TIMEOUTS) {
            return false;
        }
        this.closePool(targetId);
        return true;
    }

    /** Removes the pools of targets that are not in `targetIds`, and closes them when their requests have ended. */
    async retain(targetIds: ReadonlySet<string>): Promise<void> {
        const removed = [...this.pools].filter(([id]) => !targetIds.has(id));
        removed.forEach(([id]) => this.pools.delete(id));
        await Promise.all(removed.map(([, { pool }]) => pool.close()));
    }

    async close(): Promise<void> {
        await this.retain(new Set());
    }

    /** Closes idle connections at once and the others after their requests. */
    private closePool(targetId: string): void {
        const entry = this.pools.get(targetId);
        this.pools.delete(targetId);
        entry?.pool.close().catch(() => undefined);
    }
}
