import { type ChildProcess, spawn } from "node:child_process";
import type { Writable } from "node:stream";

/** Ends the processes of a trial and removes its folders when the trial ends, also if it is killed. */
class TrialGuard {
    private readonly input: Writable;

    constructor() {
        // Of a process group of its own, so that it outlives a signal to the trial's.
        const guard = spawn(process.execPath, ["target/review-2/guardProgram.cjs"], {
            stdio: ["pipe", "ignore", "ignore"],
            detached: true,
        });
        guard.unref();
        this.input = guard.stdin!;
        this.input.on("error", () => undefined);
    }

    watchProcess(child: ChildProcess): void {
        const { pid } = child;
        this.input.write(`start ${pid}\n`);
        child.once("exit", () => this.input.write(`ended ${pid}\n`));
    }

    watchFolder(folder: string): void {
        this.input.write(`folder ${folder}\n`);
    }
}

export const trialGuard = new TrialGuard();
