import { appendFileSync, writeFileSync } from "node:fs";

/** What was sent, answered and run, one line for each event, with the time since the start of the case in ms. */
export class RecordFile {
    private readonly startedAt = performance.now();
    private pending: string[] = [];

    constructor(private readonly path: string) {
        writeFileSync(path, "");
    }

    add(event: string, fields: Readonly<Record<string, string | number | boolean | null | undefined>> = {}): void {
        const pairs = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
        this.pending.push([`${Math.round(performance.now() - this.startedAt)}`, event, ...pairs].join(" "));
        if (this.pending.length >= 500) {
            this.flush();
        }
    }

    flush(): void {
        if (this.pending.length > 0) {
            appendFileSync(this.path, `${this.pending.join("\n")}\n`);
            this.pending = [];
        }
    }
}
