import type { Workspace } from "@pistachioreel/desired-state";
import { ReplicatedLimits } from "@pistachioreel/limits";
import { TargetRateLimits } from "@pistachioreel/placement";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { WorkspaceLimits } from "../src/workspaceLimits.js";

/** Half of a burst is available when a limit is set. */
const BURST = 4;

function newWorkspace(name: string): Workspace {
    return { name, keys: ["k"], ratePerSecond: 1, burst: BURST, regions: [] };
}

/** Limits of workspaces beside those of targets, as on a host. */
function newLimits(workspaces: readonly Workspace[]) {
    const now = () => 0;
    const limits = new ReplicatedLimits({ hosts: () => ({ linked: 1, total: 1 }), now });
    const workspaceLimits = new WorkspaceLimits(limits);
    workspaceLimits.applyDesiredState({ workspaces });
    return { workspaceLimits, targetLimits: new TargetRateLimits({ limits, hostCount: () => 1, now }) };
}

function countAdmitted(limits: WorkspaceLimits, workspace: Workspace): number {
    return Array.from({ length: 10 }, () => limits.admit(workspace)).filter(wait => wait === undefined).length;
}

describe("limits of workspaces", () => {
    it("hold for a workspace named like a target's limit, which was removed with the targets that had left", () => {
        const workspace = newWorkspace("target:i-1/7");
        const { workspaceLimits, targetLimits } = newLimits([workspace]);
        targetLimits.retain([]);
        assert.equal(countAdmitted(workspaceLimits, workspace), BURST / 2);
    });

    it("are not shared by workspaces whose names differ by the prefix that sets limits apart", () => {
        const names = ["a", "target:a", "workspace:a", "workspace:target:a"];
        const workspaces = names.map(newWorkspace);
        const { workspaceLimits } = newLimits(workspaces);
        workspaces.forEach(workspace =>
            assert.equal(countAdmitted(workspaceLimits, workspace), BURST / 2, workspace.name)
        );
    });
});
