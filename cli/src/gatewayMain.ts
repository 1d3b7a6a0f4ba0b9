import { gateway } from "./commands/gateway.js";

/** Runs a gateway host with the settings file that the first argument names; starts faster than the full program. */
async function main([settings]: readonly string[]): Promise<void> {
    const result = await gateway.run({ positionals: [], flags: { settings } });
    if (result.isErr()) {
        const lines = result.error.map(failure => `PR${failure.number} ${failure.message}\n  hint: ${failure.hint}`);
        process.stderr.write(`${lines.join("\n")}\n`);
        process.exitCode = 1;
    }
}

void main(process.argv.slice(2));
