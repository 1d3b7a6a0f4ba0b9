import { ConnectionPool } from "@pistachioreel/forwarding";
import { type Target, targetKey } from "@pistachioreel/placement";
import type { Dialect } from "./dialect.js";

interface TargetConnectionPoolsOptions {
    readonly localAddress: string;
    readonly dialect: Dialect;
    /** Monotonic time in ms. */
    readonly now: () => number;
    readonly onOpened: () => void;
}

/** Connection pools, one for each run of a target. */
export class TargetConnectionPools {
    private readonly pools = new Map<string, ConnectionPool>();

    constructor(private readonly opts: TargetConnectionPoolsOptions) {}

    poolOf(target: Target): ConnectionPool {
        const key = poolKey(target);
        let pool = this.pools.get(key);
        if (pool === undefined) {
            const { localAddress, dialect: matcher, now, onOpened } = this.opts;
            pool = new ConnectionPool({ address: target.address, localAddress, matcher, now, onOpened });
            this.pools.set(key, pool);
        }
        return pool;
    }

    /** Closes connections to targets that are gone once their requests have ended. */
    retain(targets: readonly Target[]): void {
        const keys = new Set(targets.map(poolKey));
        for (const [key, pool] of this.pools) {
            if (!keys.has(key)) {
                this.pools.delete(key);
                pool.close();
            }
        }
    }
}

/** A target that has moved to another address needs other connections. */
function poolKey(target: Target): string {
    return `${targetKey(target)}/${target.address}`;
}
