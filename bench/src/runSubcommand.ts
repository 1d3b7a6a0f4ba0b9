type Subcommand = (args: readonly string[]) => Promise<unknown>;

/** Runs the subcommand that the first argument names with the other arguments. */
export async function runSubcommand(
    script: string,
    [name = "", ...args]: string[],
    subcommands: Readonly<Record<string, Subcommand>>,
) {
    const subcommand = subcommands[name];
    if (subcommand === undefined) {
        process.stderr.write(`usage: npm run ${script} -- ${Object.keys(subcommands).join("|")}\n`);
        process.exitCode = 2;
        return;
    }
    await subcommand(args);
}
