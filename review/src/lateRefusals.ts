import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { RecordFile } from "./recordFile.js";
import type { RunRequest } from "./reviewServer.js";

interface LateRefusalsOptions {
    /** Servers that send second answers, by id. */
    readonly servers: ReadonlySet<string>;
    /** Share of their answers that a second one follows. */
    readonly share: number;
    readonly record: RecordFile;
}

/** A refusal as `fleetbench wire` prints it, "a server sheds", with the length of its body. It names no request. */
const REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

/**
 * Some answers of some servers, for some time, are followed by a refusal on the same channel. It comes late: when the next request
 * has arrived there. The servers handle that request as any other.
 */
export class LateRefusals {
    /** Number of refusals that were sent. */
    sent = 0;
    private endsAt = -Infinity;
    private readonly due = new WeakSet<Socket>();

    constructor(private readonly opts: LateRefusalsOptions) {}

    start(durationMs: number): void {
        this.endsAt = performance.now() + durationMs;
    }

    /** Notes that a second answer is due; the first one is sent as it is. */
    readonly interfere = ({ server }: RunRequest, { socket }: ServerResponse): boolean => {
        const { servers, share } = this.opts;
        if (socket !== null && performance.now() < this.endsAt && servers.has(server) && Math.random() < share) {
            this.due.add(socket);
        }
        return false;
    };

    readonly onArrival = (server: string, { socket }: ServerResponse): void => {
        if (socket !== null && this.due.delete(socket)) {
            this.sent++;
            this.opts.record.add("late-refusal", { server });
            socket.write(REFUSAL);
        }
    };
}
