import { setTimeout as sleep } from "node:timers/promises";
import { Pool } from "undici";

interface PacedLoadOptions {
    /** `address:port` of the servers, used in turn. */
    readonly servers: readonly string[];
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly perSecond: number;
    readonly durationMs: number;
}

const SEND_INTERVAL_MS = 2;
const MS_PER_SECOND = 1_000;
const CONNECTIONS = 64;

/** Load generator with a fixed rate in its own process, so that it does not delay the process that measures. */
const { servers, path, headers, perSecond, durationMs } = JSON.parse(process.argv[2] ?? "{}") as PacedLoadOptions;
const pools = servers.map(server => new Pool(`http://${server}`, { connections: CONNECTIONS }));
process.stdout.write("started\n");
const startedAt = performance.now();
for (let count = 0, elapsedMs = 0; elapsedMs < durationMs; elapsedMs = performance.now() - startedAt) {
    for (; count < elapsedMs * perSecond / MS_PER_SECOND; count++) {
        const pool = pools[count % pools.length];
        pool?.request({ method: "GET", path, headers }).then(({ body }) => body.dump()).catch(() => undefined);
    }
    await sleep(SEND_INTERVAL_MS);
}
process.exit(0);
