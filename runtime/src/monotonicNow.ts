/** Monotonic time in ms; steps of the wall clock do not change it. */
export function monotonicNow(): number {
    return performance.now();
}
