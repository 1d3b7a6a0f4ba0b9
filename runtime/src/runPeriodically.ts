import { setTimeout as sleep } from "node:timers/promises";

interface PeriodicTaskOptions {
    /** Time until the next run, in ms; read after each run. */
    readonly intervalMs: () => number;
    readonly signal: AbortSignal;
    /** Called with what the action has thrown. */
    readonly onError: (cause: unknown) => void;
}

/** Runs the action at intervals until the signal aborts. An error of one run does not end the following ones. */
export async function runPeriodically(action: () => void, opts: PeriodicTaskOptions): Promise<void> {
    const { intervalMs, signal, onError } = opts;
    while (!signal.aborted) {
        try {
            action();
        }
        catch (cause) {
            onError(cause);
        }
        await sleep(intervalMs(), undefined, { signal }).catch(() => undefined);
    }
}
