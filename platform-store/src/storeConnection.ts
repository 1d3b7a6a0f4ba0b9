import { Failure } from "@pistachioreel/result-code";
import { GrowingBuffer, PieceCount } from "@pistachioreel/runtime";
import { err, ok, type Result } from "neverthrow";
import type { Readable } from "node:stream";
import { type Dispatcher, Pool } from "undici";

/** Responses with a larger body count as failed. */
const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

interface StoreConnectionOptions {
    /** Maximum number of connections. */
    readonly connections: number;
    /** Local address that connections are opened from. */
    readonly localAddress?: string;
    /** Headers of every request. */
    readonly headers?: Readonly<Record<string, string | undefined>>;
    /** Whether every call gets a new connection, as a kept one may have gone silent; `false` by default. */
    readonly opensForEachCall?: boolean;
}

interface StoreResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly text: string;
}

type StoreRequest = Pick<Dispatcher.RequestOptions, "method" | "path" | "body"> & {
    readonly headers?: Readonly<Record<string, string | undefined>>;
    /** Ends the call as failed. */
    readonly signal?: AbortSignal | undefined;
};

/**
 * HTTP connections to a store. A call that gets no complete response within its time limit fails, and its connection is
 * closed.
 */
export class StoreConnection {
    private readonly pool: Pool;

    constructor(url: string, private readonly opts: StoreConnectionOptions) {
        const { connections, localAddress } = opts;
        this.pool = new Pool(url, { connections, ...(localAddress === undefined ? {} : { localAddress }) });
    }

    /**
     * Sends a request and reads the complete response, whatever its status. Failure: `storeUnreachable`, after which a
     * write may have taken effect nevertheless.
     */
    async call(
        { headers, signal, ...request }: StoreRequest,
        timeoutMs: number,
    ): Promise<Result<StoreResponse, Failure>> {
        const timeout = AbortSignal.timeout(timeoutMs);
        try {
            const response = await this.pool.request({
                ...request,
                headers: { ...this.opts.headers, ...headers },
                signal: signal === undefined ? timeout : AbortSignal.any([timeout, signal]),
                reset: this.opts.opensForEachCall ?? false,
                headersTimeout: timeoutMs,
                bodyTimeout: timeoutMs,
            });
            return ok({ status: response.statusCode, headers: response.headers, text: await readText(response.body) });
        }
        catch (cause) {
            const reason = cause instanceof Error ? cause.message : String(cause);
            const message = `no response from the store to ${request.method}: ${reason}`;
            return err(new Failure("storeUnreachable", message, { cause }));
        }
    }

    /** Aborts all calls and closes all connections. */
    async close(): Promise<void> {
        await this.pool.destroy();
    }
}

/** Reads a body as UTF-8 text. Rejects if it is too large or arrives in too many small pieces, which closes its connection. */
function readText(body: Readable): Promise<string> {
    const text = new GrowingBuffer({ maxBytes: MAX_RESPONSE_BYTES });
    const pieces = new PieceCount();
    return new Promise((resolve, reject) => {
        body.once("end", () => resolve(text.bytes.toString())).once("error", reject);
        body.on("data", (piece: Buffer) => {
            if (text.size + piece.length > MAX_RESPONSE_BYTES || pieces.add(piece.length)) {
                body.destroy(new Error("the response is too large or in too many small pieces"));
                return;
            }
            text.append(piece);
        });
    });
}
