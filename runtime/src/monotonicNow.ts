/** Monotonic time in ms since the start of the process; steps of the wall clock do not change it. */
export function monotonicNow(): number {
    return performance.now();
}
