import { type ChildProcess, spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { trialGuard } from "./trialGuard.js";

/** Another program of a trial in a process of its own, which ends with the trial. */
export class TrialChild {
    /** The last line that it has printed. */
    lastLine = "";
    private readonly child: ChildProcess;
    private readonly firstLine: Promise<string>;

    /** @param program Its name in `target/review-2`. */
    constructor(program: string, args: readonly string[]) {
        this.child = spawn(process.execPath, [`target/review-2/${program}.cjs`, ...args], {
            stdio: ["ignore", "pipe", "inherit"],
        });
        trialGuard.watchProcess(this.child);
        process.once("exit", () => this.end());
        const lines = createInterface({ input: this.child.stdout! });
        lines.on("line", line => this.lastLine = line);
        this.firstLine = new Promise(resolve => lines.once("line", resolve));
    }

    waitForLine(): Promise<string> {
        return this.firstLine;
    }

    end(): void {
        this.child.kill("SIGKILL");
    }
}
