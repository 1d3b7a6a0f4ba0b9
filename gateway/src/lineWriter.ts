import { write } from "node:fs";

const STDOUT_FD = 1;
/** Further lines are dropped while this much is pending, as when standard output accepts no data. */
const MAX_PENDING_BYTES = 256 * 1024;
const FLUSH_INTERVAL_MS = 250;

/** Writes lines to standard output asynchronously, so that a reader that stops reading cannot block the process. */
export class LineWriter {
    private pendingLines: string[] = [];
    private pendingBytes = 0;
    private dropped = 0;
    private timer: NodeJS.Timeout | undefined;
    private lastWrite = Promise.resolve();

    /** Queues a line, or drops and counts it if too much is pending. */
    readonly write = (line: string): void => {
        if (this.pendingBytes + line.length > MAX_PENDING_BYTES) {
            this.dropped++;
            return;
        }
        this.pendingLines.push(line);
        this.pendingBytes += line.length;
        this.timer ??= setTimeout(() => void this.flush(), FLUSH_INTERVAL_MS);
    };

    /** Writes the pending lines, and the number of dropped ones; resolves when they have been written. */
    async flush(): Promise<void> {
        this.timer = undefined;
        await this.lastWrite;
        if (this.pendingLines.length === 0) {
            return;
        }
        const lines = this.dropped > 0
            ? [...this.pendingLines, `event=lines-dropped count=${this.dropped}`]
            : this.pendingLines;
        this.pendingLines = [];
        this.pendingBytes = 0;
        this.dropped = 0;
        this.lastWrite = writeAll(Buffer.from(`${lines.join("\n")}\n`));
        await this.lastWrite;
    }
}

function writeAll(bytes: Buffer): Promise<void> {
    return new Promise(resolve => {
        write(STDOUT_FD, bytes, (error, written) => {
            const isDone = error !== null && error !== undefined || written >= bytes.length;
            resolve(isDone ? undefined : writeAll(bytes.subarray(written)));
        });
    });
}
