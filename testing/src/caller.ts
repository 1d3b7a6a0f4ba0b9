import { Agent, request as send } from "undici";
import type { CallerRecord } from "./callerRecord.js";

/** A request that a caller sends. Defaults: GET, idempotent, 15 s timeout. */
interface CallerRequest {
    /** `address:port` of an entry host. */
    readonly host: string;
    readonly path: string;
    /** Sent in `X-Marker`; identifies the request and its repeats in the records of callers and targets. */
    readonly marker: string;
    readonly method?: "GET" | "POST";
    /** API key, sent as a bearer token. */
    readonly key?: string;
    readonly body?: Buffer;
    /** If false, the marker is also sent as `Idempotency-Key`. */
    readonly isIdempotent?: boolean;
    readonly timeoutMs?: number;
    readonly headers?: Readonly<Record<string, string>>;
}

const DEFAULT_TIMEOUT_MS = 15_000;

/** HTTP client that records the outcome of each of its requests. */
export class Caller {
    /** Outcomes of all requests that have ended, in the order in which they ended. */
    readonly records: CallerRecord[] = [];
    private readonly agent = new Agent({ connections: 64 });

    /** Sends a request and records its outcome. Resolves for every outcome, connection errors and timeouts included. */
    async send(request: CallerRequest): Promise<CallerRecord> {
        const sentAt = Date.now();
        const startedAt = performance.now();
        const { isIdempotent = true, marker, path } = request;
        const result = await this.perform(request);
        const latencyMs = performance.now() - startedAt;
        const record: CallerRecord = { marker, path, isIdempotent, ...result, latencyMs, sentAt };
        this.records.push(record);
        return record;
    }

    /** Closes all connections; requests in progress are aborted. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }

    private async perform(request: CallerRequest): Promise<Pick<CallerRecord, "outcome" | "status" | "code">> {
        const { host, path, marker, method = "GET", key, body, isIdempotent = true, timeoutMs = DEFAULT_TIMEOUT_MS } =
            request;
        try {
            const response = await send(`http://${host}${path}`, {
                dispatcher: this.agent,
                method,
                body,
                signal: AbortSignal.timeout(timeoutMs),
                headers: {
                    "x-marker": marker,
                    ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
                    ...(isIdempotent ? {} : { "idempotency-key": marker }),
                    ...request.headers,
                },
            });
            const text = await response.body.text();
            const code = Number(response.headers["x-result-code"] ?? 0);
            const outcome = outcomeOf(response.statusCode, response.headers["x-not-run"] === "1", text, request);
            return { outcome, status: response.statusCode, code };
        }
        catch (error) {
            const isUnsent = error instanceof Error && "code" in error && error.code === "ECONNREFUSED";
            return { outcome: isUnsent ? "not-run" : "unknown", status: 0, code: 0 };
        }
    }
}

/** Classifies a response; a 200 is complete only if it echoes the request's marker and the size of its body. */
function outcomeOf(status: number, isNotRun: boolean, text: string, request: CallerRequest): CallerRecord["outcome"] {
    if (status !== 200) {
        return isNotRun ? "not-run" : "unknown";
    }
    try {
        const echo = JSON.parse(text) as { marker?: string; bodyBytes?: number; };
        const isOwn = echo.marker === request.marker && echo.bodyBytes === (request.body?.length ?? 0);
        return isOwn ? "complete" : "wrong";
    }
    catch {
        return "wrong";
    }
}
