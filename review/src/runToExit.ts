/** Scripts run for 120 s at most. */
const MAX_DURATION_MS = 110_000;
const COULD_NOT_RUN = 2;

/** Runs a trial to its exit code. One that throws, takes too long or is stopped by a signal could not run. */
export function runToExit(run: () => Promise<number>): void {
    const giveUp = (reason: string) => {
        process.stderr.write(`the case could not run: ${reason}\n`);
        process.exit(COULD_NOT_RUN);
    };
    for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"] as const) {
        process.once(signal, () => giveUp(`stopped by ${signal}`));
    }
    setTimeout(() => giveUp("it took too long"), MAX_DURATION_MS).unref();
    run().then(code => process.exit(code), (cause: unknown) => giveUp(String(cause)));
}
