import { build as buildHistogram } from "hdr-histogram-js";
import { GatewayFleet } from "../../platform/test/gatewayFleet.js";

const HOST_COUNTS = [3, 10, 30];
const SERVERS = 3;
const LIMIT_PER_SECOND = 5;
const REQUESTS_PER_SECOND = 70;
const WARM_UP_MS = 1_000;
const SETTLE_MS = 4_000;
const STEADY_MS = 8_000;
const WINDOW_MS = 4_000;
const MS_PER_SECOND = 1_000;

/**
 * Measures what callers get while targets state a limit: first one of three, so that the others take what is over, then all
 * of them, so that callers are refused.
 */
export async function limitedTargetsBench(): Promise<void> {
    for (const hosts of HOST_COUNTS) {
        for (const limitedCount of [1, SERVERS]) {
            await measure(hosts, limitedCount);
        }
    }
}

async function measure(hosts: number, limitedCount: number): Promise<void> {
    const fleet = await GatewayFleet.start({ hosts, servers: SERVERS });
    try {
        await fleet.load({ perSecond: REQUESTS_PER_SECOND, durationMs: WARM_UP_MS });
        const limited = fleet.servers.slice(0, limitedCount);
        limited.forEach(server => server.stateLimit(LIMIT_PER_SECOND));
        await fleet.load({ perSecond: REQUESTS_PER_SECOND, durationMs: SETTLE_MS });
        const from = performance.now();
        const responses = await fleet.load({ perSecond: REQUESTS_PER_SECOND, durationMs: STEADY_MS });
        const steady = limited.map(({ arrivals }) => arrivals.map(({ at }) => at).filter(at => at >= from));
        const perSecond = steady.map(times => times.length / STEADY_MS * MS_PER_SECOND);
        const most = Math.max(...steady.map(mostInWindow));
        const latency = buildHistogram();
        responses.filter(({ status }) => status === 200).forEach(({ tookMs }) => latency.recordValue(tookMs));
        const fields = {
            hosts,
            limited: limitedCount,
            limit: LIMIT_PER_SECOND,
            at_target: perSecond.map(rate => rate.toFixed(1)).join("/"),
            used_share: (perSecond.reduce((sum, rate) => sum + rate, 0) / limitedCount / LIMIT_PER_SECOND).toFixed(2),
            most_in_4s: most,
            requests: responses.length,
            refused: responses.filter(({ status }) => status === 503).length,
            p50_ms: latency.getValueAtPercentile(50),
            p99_ms: latency.getValueAtPercentile(99),
        };
        process.stdout.write(`${Object.entries(fields).map(pair => pair.join("=")).join(" ")}\n`);
    }
    finally {
        await fleet.stop();
    }
}

function mostInWindow(times: readonly number[]): number {
    return Math.max(0, ...times.map(from => times.filter(at => at >= from && at < from + WINDOW_MS).length));
}
