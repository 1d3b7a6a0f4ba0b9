import { writeFileSync } from "node:fs";
import { join } from "node:path";

/** The record of a trial: what was sent, answered and run, with times since its start. */
export class TrialRecord {
    private readonly lines: string[] = [];
    private readonly startedAt = performance.now();

    constructor(private readonly folder: string) {}

    add(line: string): void {
        const seconds = ((performance.now() - this.startedAt) / 1_000).toFixed(3);
        this.lines.push(`${seconds.padStart(8)} s  ${line}`);
    }

    /** Writes the record with its verdict as the last line. */
    save(verdict: string): void {
        this.add(verdict);
        writeFileSync(join(this.folder, "record.txt"), `${this.lines.join("\n")}\n`);
        process.stdout.write(`${verdict}\n`);
    }
}
