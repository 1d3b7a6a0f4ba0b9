import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";

interface ChildProgramOptions {
    /** Substring of the output line that reports that the program has started. */
    readonly readyLine: string;
}

const START_TIMEOUT_MS = 20_000;
const MAX_LINES = 2_000;

const running = new Set<ChildProcess>();
process.once("exit", () => running.forEach(child => child.kill("SIGKILL")));

/** Child process of a test, with its output. It is killed when the test process exits. */
export class ChildProgram {
    /** The most recent lines of standard output and standard error, 2,000 at most. */
    readonly lines: string[] = [];
    private readonly child: ChildProcess;
    private readonly ready: Promise<void>;
    private readonly exit: Promise<number | null>;

    constructor(command: string, args: readonly string[], opts: ChildProgramOptions) {
        this.child = spawn(command, args, { stdio: ["ignore", "pipe", "pipe"] });
        running.add(this.child);
        this.exit = once(this.child, "exit").then(([code]) => {
            running.delete(this.child);
            return code as number | null;
        });
        this.ready = this.waitForLine(opts.readyLine, `${command} ${args.join(" ")}`);
    }

    /** Process id; -1 if the process could not be started. */
    get pid(): number {
        return this.child.pid ?? -1;
    }

    get hasEnded(): boolean {
        return !running.has(this.child);
    }

    /** Resolves when the ready line is printed. Rejects if the program exits first or does not print it within 20 s. */
    async waitUntilStarted(): Promise<this> {
        await this.ready;
        return this;
    }

    /** Sends a signal and waits until the process exits. Returns its exit code; `null` if a signal ended it. */
    async end(signal: "SIGTERM" | "SIGKILL" = "SIGTERM"): Promise<number | null> {
        this.child.kill(signal);
        return this.exit;
    }

    /** Suspends the process with SIGSTOP. */
    pause(): void {
        this.child.kill("SIGSTOP");
    }

    /** Resumes a suspended process. */
    resume(): void {
        this.child.kill("SIGCONT");
    }

    private waitForLine(text: string, description: string): Promise<void> {
        return new Promise((resolve, reject) => {
            const timer = setTimeout(
                () => reject(new Error(`${description}: did not print "${text}" in time`)),
                START_TIMEOUT_MS,
            );
            const handleLine = (line: string) => {
                this.lines.push(line);
                this.lines.splice(0, this.lines.length - MAX_LINES);
                if (line.includes(text)) {
                    clearTimeout(timer);
                    resolve();
                }
            };
            for (const stream of [this.child.stdout, this.child.stderr]) {
                if (stream) {
                    createInterface({ input: stream }).on("line", handleLine);
                }
            }
            // Unlike the exit, this is after the last output, which names the reason.
            this.child.once("close", code => {
                clearTimeout(timer);
                reject(
                    new Error(
                        `${description}: exited with code ${code}; last output:\n${this.lines.slice(-5).join("\n")}`,
                    ),
                );
            });
        });
    }
}
