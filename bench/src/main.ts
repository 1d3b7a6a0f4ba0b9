import { passthroughBench } from "./passthroughBench.js";

type Bench = (args: readonly string[]) => Promise<unknown>;

const benches: Readonly<Record<string, Bench>> = { passthrough: passthroughBench };

const [name = "", ...args] = process.argv.slice(2);
const bench = benches[name];
if (bench === undefined) {
    process.stderr.write(`usage: npm run bench -- ${Object.keys(benches).join("|")}\n`);
    process.exitCode = 2;
}
else {
    await bench(args);
}
