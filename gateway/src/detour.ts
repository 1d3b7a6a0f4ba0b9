import {
    ConnectionPool,
    type ExchangeResult,
    headerValue,
    type ResponseMatcher,
    type ResponseMemory,
} from "@pistachioreel/forwarding";
import { Failure, resultCodes } from "@pistachioreel/result-code";
import { allowedRegions } from "./allowedRegions.js";
import { detourHeaders } from "./detourHeaders.js";
import type { DetourHost } from "./detourHost.js";
import type { Dialect } from "./dialect.js";
import type { RelayedRequest } from "./relayedRequest.js";
import { shuffled } from "./shuffled.js";

interface DetourOptions {
    readonly localAddress: string;
    readonly availabilityZone: string;
    readonly region: string;
    readonly dialect: Pick<Dialect, "detourHeaders">;
    /** Memory for response bodies that are being read, shared with those of targets. */
    readonly memory: ResponseMemory;
    /** Linked hosts that reach targets. */
    readonly hosts: () => readonly DetourHost[];
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Outcome of passing a request on: a target's response, the refusal of the other host, or none. */
interface DetourResult {
    readonly hostId: string;
    readonly result: ExchangeResult;
    /** Set if the other host has refused the request. */
    readonly refusal?: { readonly failure: Failure; readonly retryAfterMs: number | undefined; } | undefined;
}

/** Requests of this host that run at one other host, at most; more could overload it. */
const MAX_RUNNING_PER_HOST = 64;
/** Larger bodies are not sent through another host, whose link all traffic of its own shares. */
const MAX_BODY_BYTES = 2 * 1024 * 1024;
const CONNECT_TIMEOUT_MS = 400;

/** Another host sends one response to each request and closes the connection otherwise. */
const anyResponse: ResponseMatcher = { trustsBodies: true, matchResponse: () => "own" };

interface KnownHost {
    readonly pool: ConnectionPool;
    running: number;
}

/** Sends requests through another host that reaches the targets, while this one does not. */
export class Detour {
    private readonly known = new Map<string, KnownHost>();

    constructor(private readonly opts: DetourOptions) {}

    /**
     * Sends the request through the best host that has not been tried; `undefined` if there is none.
     *
     * @param excluded Ids of hosts that have been tried; the chosen one is added.
     * @param maxAttempts Number of targets that the request may be sent to.
     */
    async send(
        request: RelayedRequest,
        { excluded, maxAttempts, signal }: { excluded: Set<string>; maxAttempts: number; signal: AbortSignal; },
    ): Promise<DetourResult | undefined> {
        const host = this.choose(request, excluded);
        if (host === undefined) {
            return undefined;
        }
        excluded.add(host.hostId);
        const known = this.knownHost(host.address);
        const deadline = AbortSignal.timeout(Math.max(1, Math.ceil(request.deadlineAt - this.opts.now())));
        known.running++;
        try {
            const result = await known.pool.exchange(
                () => this.encode(request, host, maxAttempts),
                AbortSignal.any([signal, deadline]),
                request.route,
            );
            return { hostId: host.hostId, result, refusal: refusalOf(result) };
        }
        finally {
            known.running--;
        }
    }

    /** The nearest host in a region that may get the request, of those at the same distance the one with the fewest requests of this host. */
    private choose(request: RelayedRequest, excluded: ReadonlySet<string>): DetourHost | undefined {
        const regions = allowedRegions(request);
        if ((request.body?.length ?? 0) > MAX_BODY_BYTES) {
            return undefined;
        }
        const runningAt = ({ address }: DetourHost) => this.known.get(address)?.running ?? 0;
        const usable = shuffled(this.opts.hosts())
            .filter(host => !excluded.has(host.hostId) && runningAt(host) < MAX_RUNNING_PER_HOST)
            .filter(({ region }) => regions === undefined || regions.includes(region));
        return usable.toSorted((a, b) => this.distanceTo(a) - this.distanceTo(b) || runningAt(a) - runningAt(b))[0];
    }

    private distanceTo({ availabilityZone, region }: DetourHost): number {
        return availabilityZone === this.opts.availabilityZone ? 0 : region === this.opts.region ? 1 : 2;
    }

    private encode(request: RelayedRequest, { token }: DetourHost, maxAttempts: number) {
        const { id, method, url: path, body, rawHeaders, deadlineAt } = request;
        const deadlineMs = Math.max(1, Math.floor(deadlineAt - this.opts.now()));
        const headers = this.opts.dialect.detourHeaders({ rawHeaders, deadlineMs });
        headers.push(detourHeaders.request, `${token} ${maxAttempts}`);
        return { id, method, path, headers, body };
    }

    private knownHost(address: string): KnownHost {
        let known = this.known.get(address);
        if (known === undefined) {
            this.prune();
            const { localAddress, memory, now } = this.opts;
            const pool = new ConnectionPool({
                address,
                localAddress,
                matcher: anyResponse,
                memory,
                connectTimeoutMs: CONNECT_TIMEOUT_MS,
                now,
            });
            known = { pool, running: 0 };
            this.known.set(address, known);
        }
        return known;
    }

    /** Closes the connections to hosts that are no longer linked. */
    private prune(): void {
        const addresses = new Set(this.opts.hosts().map(({ address }) => address));
        for (const [address, { pool, running }] of this.known) {
            if (!addresses.has(address) && running === 0) {
                this.known.delete(address);
                pool.close();
            }
        }
    }
}

function refusalOf(result: ExchangeResult): DetourResult["refusal"] {
    const text = result.end === "answered" ? headerValue(result.response.headers, detourHeaders.refusal) : undefined;
    if (text === undefined) {
        return undefined;
    }
    const [name = "", retryAfter = ""] = text.split(" ");
    const code = Object.keys(resultCodes).find((known): known is keyof typeof resultCodes => known === name);
    const retryAfterMs = Number.parseFloat(retryAfter);
    return {
        failure: new Failure(code ?? "outcomeUnknown"),
        retryAfterMs: Number.isFinite(retryAfterMs) ? retryAfterMs : undefined,
    };
}
