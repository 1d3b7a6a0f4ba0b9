import { rmSync } from "node:fs";
import { createInterface } from "node:readline";

const processes = new Set<number>();
const folders = new Set<string>();

// The input ends when the trial does, in whatever way. Lines: `start PID`, `ended PID` and `folder PATH`.
createInterface({ input: process.stdin })
    .on("line", line => {
        const [verb, value = ""] = [line.slice(0, line.indexOf(" ")), line.slice(line.indexOf(" ") + 1)];
        if (verb === "start") {
            processes.add(Number(value));
        }
        else if (verb === "ended") {
            processes.delete(Number(value));
        }
        else {
            folders.add(value);
        }
    })
    .once("close", () => {
        for (const pid of processes) {
            try {
                process.kill(pid, "SIGKILL");
            }
            catch {
                // It has ended.
            }
        }
        folders.forEach(folder => rmSync(folder, { recursive: true, force: true }));
    });
