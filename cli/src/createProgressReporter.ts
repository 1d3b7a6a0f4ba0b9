const QUIET_MS = 2_000;
const INTERVAL_MS = 1_000;

/** Returns a function that writes progress to standard error, at most once a second, after the first two seconds. */
export function createProgressReporter(): (text: string) => void {
    let nextAt = Date.now() + QUIET_MS;
    return text => {
        if (Date.now() >= nextAt) {
            nextAt = Date.now() + INTERVAL_MS;
            process.stderr.write(`${text}\n`);
        }
    };
}
