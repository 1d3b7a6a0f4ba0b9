import { build as buildHistogram, type Histogram } from "hdr-histogram-js";
import { Pool } from "undici";

interface LoadOptions {
    /** `address:port` of the server. */
    readonly server: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly connections: number;
    readonly durationMs: number;
}

/** Result of a closed-loop load. */
export interface LoadResult {
    readonly requestsPerSecond: number;
    /** Latencies in microseconds. */
    readonly latency: Histogram;
    readonly failed: number;
}

const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;

/** Runs a closed-loop load: each connection sends a request as soon as its previous one has ended. */
export async function runLoad({ server, path, headers, connections, durationMs }: LoadOptions): Promise<LoadResult> {
    const pool = new Pool(`http://${server}`, { connections });
    const latency = buildHistogram();
    const startedAt = performance.now();
    let failed = 0;
    const runConnection = async () => {
        while (performance.now() - startedAt < durationMs) {
            const sentAt = performance.now();
            const { statusCode, body } = await pool.request({ method: "GET", path, headers });
            await body.dump();
            failed += statusCode === 200 ? 0 : 1;
            latency.recordValue((performance.now() - sentAt) * MICROSECONDS_PER_MS);
        }
    };
    await Promise.all(Array.from({ length: connections }, runConnection));
    const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
    await pool.close();
    return { requestsPerSecond: latency.totalCount / seconds, latency, failed };
}
