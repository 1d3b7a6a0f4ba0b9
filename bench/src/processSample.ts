import { readFileSync } from "node:fs";

/** Processor time and memory of a process at one moment. */
export interface ProcessSample {
    /** User and system time since the process started, in ms. */
    readonly processorMs: number;
    readonly residentBytes: number;
    /** Monotonic time of the sample in ms. */
    readonly at: number;
}

/** Linux reports processor time in ticks of 10 ms. */
const MS_PER_TICK = 10;
const BYTES_PER_KIB = 1_024;
/** Positions among the fields after the command name, which is in parentheses and may contain spaces. */
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

/** Reads processor time and memory of a process that this program started, from `/proc`. */
export function processSample(pid: number): ProcessSample {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ").map(Number);
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const resident = Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1]);
    return {
        processorMs: ((fields[USER_TICKS] as number) + (fields[SYSTEM_TICKS] as number)) * MS_PER_TICK,
        residentBytes: resident * BYTES_PER_KIB,
        at: performance.now(),
    };
}
