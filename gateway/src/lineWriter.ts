import { write } from "node:fs";

const STANDARD_OUTPUT = 1;
/** Lines beyond this size are dropped while standard output takes nothing. */
const MAX_WAITING_BYTES = 256 * 1024;
const FLUSH_INTERVAL_MS = 250;

/** Writes lines to standard output in the background; a reader that stops reading never blocks the process. */
export class LineWriter {
    private waiting: string[] = [];
    private waitingBytes = 0;
    private dropped = 0;
    private timer: NodeJS.Timeout | undefined;
    private writing = Promise.resolve();

    readonly write = (line: string): void => {
        if (this.waitingBytes + line.length > MAX_WAITING_BYTES) {
            this.dropped++;
            return;
        }
        this.waiting.push(line);
        this.waitingBytes += line.length;
        this.timer ??= setTimeout(() => void this.flush(), FLUSH_INTERVAL_MS);
    };

    /** Writes what is waiting; resolves when it has been written. */
    async flush(): Promise<void> {
        this.timer = undefined;
        await this.writing;
        if (this.waiting.length === 0) {
            return;
        }
        const lines = this.dropped > 0 ? [...this.waiting, `event=lines-dropped count=${this.dropped}`] : this.waiting;
        this.waiting = [];
        this.waitingBytes = 0;
        this.dropped = 0;
        this.writing = writeAll(Buffer.from(`${lines.join("\n")}\n`));
        await this.writing;
    }
}

function writeAll(bytes: Buffer): Promise<void> {
    return new Promise(resolve => {
        write(STANDARD_OUTPUT, bytes, (error, written) => {
            const isDone = error !== null && error !== undefined || written >= bytes.length;
            resolve(isDone ? undefined : writeAll(bytes.subarray(written)));
        });
    });
}
