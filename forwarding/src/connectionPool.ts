import type { ExchangeResult } from "./exchangeResult.js";
import type { ResponseMatcher } from "./responseMatcher.js";
import type { ResponseMemory } from "./responseMemory.js";
import { TargetConnection } from "./targetConnection.js";
import type { TargetRequest } from "./targetRequest.js";

interface ExchangeOptions {
    /** Whether the request can be retried if it is lost. */
    readonly isIdempotent: boolean;
}

interface ConnectionPoolOptions {
    readonly address: string;
    readonly localAddress?: string;
    readonly matcher: ResponseMatcher;
    /** Memory that the response bodies of all pools share. */
    readonly memory?: ResponseMemory;
    readonly connectTimeoutMs?: number;
    /** Monotonic time in ms. */
    readonly now: () => number;
    /** Called for each attempt to open a connection. */
    readonly onOpened?: () => void;
}

const DEFAULT_CONNECT_TIMEOUT_MS = 800;
/** A request sent while the target closes an idle connection is lost, so idle connections are closed earlier. */
const MAX_IDLE_MS = 5_000;
/** Non-idempotent requests cannot be retried after a loss, so they only use recently used connections. */
const MAX_IDLE_NON_IDEMPOTENT_MS = 2_500;
/** Share of the target's advertised keep-alive timeout after which a connection is no longer used. */
const USABLE_KEEP_ALIVE_SHARE = 0.5;
const MAX_IDLE_CONNECTIONS = 32;

/** Keep-alive connections to one target. */
export class ConnectionPool {
    private idle: TargetConnection[] = [];
    private isClosed = false;

    constructor(private readonly opts: ConnectionPoolOptions) {}

    /**
     * Sends one request on an idle connection, or on a new one, and reads its response. An abort closes the connection.
     *
     * @param createRequest Called once a connection is available, so that the request can state the remaining time. May
     * return `undefined` to send nothing.
     */
    async exchange(
        createRequest: () => TargetRequest | undefined,
        signal: AbortSignal,
        { isIdempotent }: ExchangeOptions,
    ): Promise<ExchangeResult> {
        const connection = this.takeIdle(isIdempotent) ?? await this.open(signal);
        if (typeof connection === "string") {
            return { end: "unsent", reason: connection };
        }
        try {
            const request = createRequest();
            return request === undefined
                ? { end: "unsent", reason: "withdrawn", isWithdrawn: true }
                : await connection.exchange(request, signal);
        }
        finally {
            this.release(connection);
        }
    }

    /** Opens a connection to check whether the target accepts one; it is kept for later requests. */
    async probe(signal: AbortSignal): Promise<boolean> {
        const connection = await this.open(signal);
        if (typeof connection === "string") {
            return false;
        }
        this.release(connection);
        return true;
    }

    /** Sends a request on a new connection, and resolves to whether anything has responded to it. */
    async ping(request: TargetRequest, signal: AbortSignal): Promise<boolean> {
        const connection = await this.open(signal);
        if (typeof connection === "string") {
            return false;
        }
        const { end } = await connection.exchange(request, signal);
        this.release(connection);
        return end === "answered";
    }

    /** Closes idle connections immediately and busy ones when their requests end. */
    close(): void {
        this.isClosed = true;
        this.closeIdle();
    }

    /** Closes all idle connections; the pool stays usable. */
    closeIdle(): void {
        const closing = this.idle;
        this.idle = [];
        closing.forEach(connection => connection.close());
    }

    private release(connection: TargetConnection): void {
        if (connection.isOpen && !this.isClosed && this.idle.length < MAX_IDLE_CONNECTIONS) {
            this.idle.push(connection);
        }
        else {
            connection.close();
        }
    }

    private takeIdle(isIdempotent: boolean): TargetConnection | undefined {
        const now = this.opts.now();
        const maxIdleMs = isIdempotent ? MAX_IDLE_MS : MAX_IDLE_NON_IDEMPOTENT_MS;
        this.idle = this.idle.filter(connection => {
            const isFresh =
                now - connection.idleSince < Math.min(MAX_IDLE_MS, connection.maxIdleMs * USABLE_KEEP_ALIVE_SHARE);
            if (!isFresh) {
                connection.close();
            }
            return isFresh;
        });
        // A refusal that names no request is certain only if no other response can come late on its connection.
        const usable = isIdempotent ? this.idle : this.idle.filter(connection => !connection.hasCarried);
        const newest = usable.at(-1);
        if (newest === undefined || now - newest.idleSince >= maxIdleMs) {
            return undefined;
        }
        this.idle = this.idle.filter(connection => connection !== newest);
        return newest;
    }

    private async open(signal: AbortSignal): Promise<TargetConnection | string> {
        if (signal.aborted) {
            return "cancelled";
        }
        const { address, localAddress, matcher, memory, now, connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS } =
            this.opts;
        this.opts.onOpened?.();
        const opts = { address, localAddress, matcher, memory: memory?.shareOf(address), now, connectTimeoutMs };
        return TargetConnection.open(opts, signal);
    }
}
