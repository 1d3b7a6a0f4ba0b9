import { runLoad } from "./runLoad.js";

/** Load generator in its own process, so that it does not share a core with the bench. Prints one line of JSON. */
const { latency, ...result } = await runLoad(JSON.parse(process.argv[2] ?? "{}") as Parameters<typeof runLoad>[0]);
const percentiles = { p50: latency.getValueAtPercentile(50), p99: latency.getValueAtPercentile(99) };
process.stdout.write(`${JSON.stringify({ ...result, ...percentiles })}\n`);
