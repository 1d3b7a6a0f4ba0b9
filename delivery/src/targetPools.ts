import { Pool } from "undici";

interface TargetAddress {
    readonly id: string;
    readonly connections: number;
}

interface TargetPoolsOptions {
    /** Time for a connection to a target, in ms. */
    readonly connectTimeoutMs?: number;
}

const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

/** Connection pools to targets, one for each target in use. */
export class TargetPools {
    private readonly pools = new Map<string, Pool>();

    constructor(private readonly opts: TargetPoolsOptions = {}) {}

    poolOf(target: TargetAddress): Pool {
        let pool = this.pools.get(target.id);
        if (pool === undefined) {
            pool = new Pool(`http://${target.id}`, {
                connections: target.connections,
                pipelining: 1,
                headersTimeout: 0,
                bodyTimeout: 0,
                connect: { timeout: this.opts.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS },
            });
            this.pools.set(target.id, pool);
        }
        return pool;
    }

    /** Closes the pools of targets that are no longer in the inventory once their requests have ended. */
    async retain(targetIds: ReadonlySet<string>): Promise<void> {
        const removed = [...this.pools].filter(([id]) => !targetIds.has(id));
        removed.forEach(([id]) => this.pools.delete(id));
        await Promise.all(removed.map(([, pool]) => pool.close()));
    }

    async close(): Promise<void> {
        await this.retain(new Set());
    }
}
