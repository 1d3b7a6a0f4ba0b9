import type { ExchangeResult } from "./exchangeResult.js";
import type { ResponseMatcher } from "./responseMatcher.js";
import { TargetConnection } from "./targetConnection.js";
import type { TargetRequest } from "./targetRequest.js";

interface ConnectionPoolOptions {
    readonly address: string;
    readonly localAddress?: string;
    readonly matcher: ResponseMatcher;
    readonly connectTimeoutMs?: number;
    /** Monotonic time in ms. */
    readonly now: () => number;
    readonly onOpened?: () => void;
}

const DEFAULT_CONNECT_TIMEOUT_MS = 800;
/** Targets close idle connections; a request that crosses the close is lost, so idle ones are given up before. */
const MAX_IDLE_MS = 5_000;
/** Work that must not run twice cannot be repeated after a loss, so it only uses connections that worked just now. */
const MAX_IDLE_ONCE_MS = 2_500;
/** Part of the target's own idle timeout after which a connection is no longer used. */
const KEEP_ALIVE_SHARE = 0.5;
const MAX_IDLE_CONNECTIONS = 32;

/** Connections to one target. */
export class ConnectionPool {
    private idle: TargetConnection[] = [];
    private isClosed = false;

    constructor(private readonly opts: ConnectionPoolOptions) {}

    /**
     * Runs one exchange on an idle connection, or on a new one. An abort closes the connection.
     *
     * @param makeRequest Called when there is a connection.
     */
    async exchange(
        makeRequest: () => TargetRequest,
        signal: AbortSignal,
        isIdempotent: boolean,
    ): Promise<ExchangeResult> {
        const connection = this.takeIdle(isIdempotent) ?? await this.open(signal);
        if (typeof connection === "string") {
            return { end: "unsent", reason: connection };
        }
        const result = await connection.exchange(makeRequest(), signal);
        this.keep(connection);
        return result;
    }

    /** Tells whether the target accepts a new connection. */
    async probe(signal: AbortSignal): Promise<boolean> {
        const connection = await this.open(signal);
        if (typeof connection === "string") {
            return false;
        }
        this.keep(connection);
        return true;
    }

    /** Closes idle connections now and the others after their requests. */
    close(): void {
        this.isClosed = true;
        this.closeIdle();
    }

    /** Closes all idle connections. */
    closeIdle(): void {
        const dropped = this.idle;
        this.idle = [];
        dropped.forEach(connection => connection.close());
    }

    private keep(connection: TargetConnection): void {
        if (connection.isOpen && !this.isClosed && this.idle.length < MAX_IDLE_CONNECTIONS) {
            this.idle.push(connection);
        }
        else {
            connection.close();
        }
    }

    private takeIdle(isIdempotent: boolean): TargetConnection | undefined {
        const now = this.opts.now();
        const maxIdleMs = isIdempotent ? MAX_IDLE_MS : MAX_IDLE_ONCE_MS;
        this.idle = this.idle.filter(connection => {
            const isFresh = now - connection.idleSince < Math.min(MAX_IDLE_MS, connection.maxIdleMs * KEEP_ALIVE_SHARE);
            if (!isFresh) {
                connection.close();
            }
            return isFresh;
        });
        const newest = this.idle.at(-1);
        return newest !== undefined && now - newest.idleSince < maxIdleMs ? this.idle.pop() : undefined;
    }

    private async open(signal: AbortSignal): Promise<TargetConnection | string> {
        if (signal.aborted) {
            return "cancelled";
        }
        const { address, localAddress, matcher, now, connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS } = this.opts;
        this.opts.onOpened?.();
        return TargetConnection.open({ address, localAddress, matcher, now, connectTimeoutMs }, signal);
    }
}
