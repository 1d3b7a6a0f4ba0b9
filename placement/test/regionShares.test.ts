import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { newHost, newRequest, newTarget } from "./fixtures.js";

interface Phase {
    readonly forMs: number;
    readonly requestsPerSecond: number;
}

const STEP_MS = 5;
const WINDOW_MS = 2_000;
const COLD_WORK_MS = 300;
const WARM_WORK_MS = 100;
const OBJECTS = 60;
/** Callers switch to other objects after this time, so that there are always new objects to place. */
const OBJECT_LIFE_MS = 700;
/** Largest allowed change of the share of requests in the other region from one window to the next. */
const MAX_SHARE_CHANGE = 0.15;

/** Returns the share of requests from the north that ran in the south, per window. */
function simulateLoad(phases: readonly Phase[]): number[] {
    const clock = { now: 0 };
    const locations = [["north", "n-a"], ["south", "s-a"]] as const;
    const targets = locations.flatMap(([region, availabilityZone]) =>
        Array.from({ length: 6 }, (_, index) => newTarget(`${region}-${index}`, { region, availabilityZone }))
    );
    const { placement, loads, warm } = newHost({ clock, targets });
    const running: { readonly endsAt: number; readonly end: () => void; }[] = [];
    const windows: { total: number; south: number; }[] = [];
    let sent = 0;
    for (const { forMs, requestsPerSecond } of phases) {
        const startedAt = clock.now;
        const sentBefore = sent;
        for (; clock.now < startedAt + forMs; clock.now += STEP_MS) {
            running.filter(({ endsAt }) => endsAt <= clock.now).forEach(({ end }) => end());
            const due = sentBefore + (clock.now - startedAt) * requestsPerSecond / 1_000;
            while (sent < due) {
                const object = `${Math.floor(clock.now / OBJECT_LIFE_MS)}-${sent++ * 7 % OBJECTS}`;
                const choice = placement.choose(newRequest(clock, { object }));
                if (!("target" in choice)) {
                    continue;
                }
                const workMs = choice.isWarm ? WARM_WORK_MS : COLD_WORK_MS;
                warm.recordHandled(choice.target, object);
                running.push({ endsAt: clock.now + workMs, end: loads.start(choice.target.id) });
                const window = windows[Math.floor(clock.now / WINDOW_MS)] ??= { total: 0, south: 0 };
                window.total++;
                window.south += choice.target.region === "south" ? 1 : 0;
            }
        }
    }
    return windows.map(({ total, south }) => south / total);
}

describe("shares of regions", () => {
    it("stay stable when the request rate rises and falls", () => {
        const shares = simulateLoad([
            { forMs: 8_000, requestsPerSecond: 60 },
            { forMs: 6_000, requestsPerSecond: 380 },
            { forMs: 6_000, requestsPerSecond: 60 },
        ]);
        const shifts = shares.slice(1).map((share, index) => Math.abs(share - (shares[index] ?? 0)));
        assert.ok(Math.max(...shifts) < MAX_SHARE_CHANGE, shares.map(share => share.toFixed(2)).join(" "));
        assert.ok(Math.max(...shares) > 0, "no object was placed in the south");
    });
});
