import { ConnectionPool, type ResponseMemory } from "@pistachioreel/forwarding";
import { type Target, targetKey } from "@pistachioreel/placement";
import type { Dialect } from "./dialect.js";

interface TargetConnectionPoolsOptions {
    readonly localAddress: string;
    readonly dialect: Dialect;
    /** Memory for response bodies that are being read. */
    readonly memory: ResponseMemory;
    /** Monotonic time in ms. */
    readonly now: () => number;
    /** Called for each attempt to open a connection. */
    readonly onOpened: () => void;
}

/** Connection pools, one for each incarnation of a target at one address. */
export class TargetConnectionPools {
    private readonly pools = new Map<string, ConnectionPool>();

    constructor(private readonly opts: TargetConnectionPoolsOptions) {}

    poolOf(target: Target): ConnectionPool {
        const key = poolKey(target);
        let pool = this.pools.get(key);
        if (pool === undefined) {
            const { localAddress, dialect: matcher, memory, now, onOpened } = this.opts;
            pool = new ConnectionPool({ address: target.address, localAddress, matcher, memory, now, onOpened });
            this.pools.set(key, pool);
        }
        return pool;
    }

    /** Closes the pools of all other targets. Connections in use are closed after their requests. */
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

/** The address is part of the key because a target that moves to another address needs new connections. */
function poolKey(target: Target): string {
    return `${targetKey(target)}/${target.address}`;
}
