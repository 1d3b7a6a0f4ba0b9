type Job = (args: readonly string[]) => Promise<unknown>;

/** Runs the job that the first argument names with the other arguments. */
export async function runSubcommand(
    script: string,
    [name = "", ...args]: string[],
    jobs: Readonly<Record<string, Job>>,
) {
    const job = jobs[name];
    if (job === undefined) {
        process.stderr.write(`usage: npm run ${script} -- ${Object.keys(jobs).join("|")}\n`);
        process.exitCode = 2;
        return;
    }
    await job(args);
}
