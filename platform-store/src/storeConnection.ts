import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { type Dispatcher, Pool } from "undici";

interface StoreConnectionOptions {
    readonly connections: number;
    /** Own address that connections come from. */
    readonly localAddress?: string;
    /** Sent with each call. */
    readonly headers?: Readonly<Record<string, string | undefined>>;
}

interface StoreResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly text: string;
}

type StoreRequest = Pick<Dispatcher.RequestOptions, "method" | "path" | "body"> & {
    readonly headers?: Readonly<Record<string, string | undefined>>;
};

/** Connections to a store over HTTP. A call that gets no whole answer in time fails, and its connection is closed. */
export class StoreConnection {
    private readonly pool: Pool;

    constructor(url: string, private readonly opts: StoreConnectionOptions) {
        const { connections, localAddress } = opts;
        this.pool = new Pool(url, { connections, ...(localAddress === undefined ? {} : { localAddress }) });
    }

    /** Failure: `storeUnreachable`; a write may have taken effect. */
    async call({ headers, ...request }: StoreRequest, timeoutMs: number): Promise<Result<StoreResponse, Failure>> {
        try {
            const response = await this.pool.request({
                ...request,
                headers: { ...this.opts.headers, ...headers },
                signal: AbortSignal.timeout(timeoutMs),
                headersTimeout: timeoutMs,
                bodyTimeout: timeoutMs,
            });
            return ok({ status: response.statusCode, headers: response.headers, text: await response.body.text() });
        }
        catch (cause) {
            const reason = cause instanceof Error ? cause.message : String(cause);
            const message = `no answer from the store to ${request.method}: ${reason}`;
            return err(new Failure("storeUnreachable", message, { cause }));
        }
    }

    /** Ends all calls and connections. */
    async close(): Promise<void> {
        await this.pool.destroy();
    }
}
