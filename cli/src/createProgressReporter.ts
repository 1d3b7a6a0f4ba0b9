const INITIAL_DELAY_MS = 2_000;
const REPORT_INTERVAL_MS = 1_000;

/** Returns a function that writes progress to standard error, at most once a second, after the first two seconds. */
export function createProgressReporter(): (text: string) => void {
    let nextReportAt = Date.now() + INITIAL_DELAY_MS;
    return text => {
        if (Date.now() >= nextReportAt) {
            nextReportAt = Date.now() + REPORT_INTERVAL_MS;
            process.stderr.write(`${text}\n`);
        }
    };
}
