import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";

interface ChildProgramOptions {
    /** Text of the output line that shows that the program is up. */
    readonly readyLine: string;
}

const START_TIMEOUT_MS = 20_000;
const MAX_LINES = 2_000;

const running = new Set<ChildProcess>();
process.once("exit", () => running.forEach(child => child.kill("SIGKILL")));

/** A child process of a test, with its output. It is killed when the test process exits. */
export class ChildProgram {
    /** Newest lines of both output streams. */
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

    get pid(): number {
        return this.child.pid ?? -1;
    }

    get hasEnded(): boolean {
        return !running.has(this.child);
    }

    /** Resolves when the ready line was printed; rejects if the program ends before it. */
    async waitUntilStarted(): Promise<this> {
        await this.ready;
        return this;
    }

    /** Sends a signal and, for signals that end a process, waits for the exit code (`null` after SIGKILL). */
    async end(signal: "SIGTERM" | "SIGKILL" = "SIGTERM"): Promise<number | null> {
        this.child.kill(signal);
        return this.exit;
    }

    /** Stops the process without ending it. */
    pause(): void {
        this.child.kill("SIGSTOP");
    }

    resume(): void {
        this.child.kill("SIGCONT");
    }

    private waitForLine(text: string, description: string): Promise<void> {
        return new Promise((resolve, reject) => {
            const timer = setTimeout(() => reject(new Error(`${description}: no line "${text}"`)), START_TIMEOUT_MS);
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
            this.child.once("exit", code => {
                clearTimeout(timer);
                reject(new Error(`${description}: exit ${code}\n${this.lines.slice(-5).join("\n")}`));
            });
        });
    }
}
