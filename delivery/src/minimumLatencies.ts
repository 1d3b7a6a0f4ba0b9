interface LatencyWindow {
    startedAt: number;
    current: number;
    previous: number;
}

const WINDOW_MS = 10_000;

/** Shortest latency of completed attempts within the last 10 to 20 s, by service. */
export class MinimumLatencies {
    private readonly windows = new Map<string, LatencyWindow>();

    constructor(private readonly now: () => number) {}

    /** Records the latency of a completed attempt. */
    record(service: string, latencyMs: number): void {
        const window = this.windowOf(service);
        window.current = Math.min(window.current, latencyMs);
    }

    /** Shortest recent latency of the service in ms; 0 if none is known. */
    minimumOf(service: string): number {
        const { current, previous } = this.windowOf(service);
        const shortest = Math.min(current, previous);
        return shortest === Infinity ? 0 : shortest;
    }

    private windowOf(service: string): LatencyWindow {
        const now = this.now();
        let window = this.windows.get(service);
        if (window === undefined) {
            window = { startedAt: now, current: Infinity, previous: Infinity };
            this.windows.set(service, window);
        }
        if (now - window.startedAt >= WINDOW_MS) {
            // After a gap without attempts, the older window is out of date.
            window.previous = now - window.startedAt < 2 * WINDOW_MS ? window.current : Infinity;
            window.current = Infinity;
            window.startedAt = now;
        }
        return window;
    }
}
