import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

interface BrokenOffServerOptions {
    /** Body of all answers. They have no length and end with their channel. */
    readonly body: Buffer;
    /** Whether the next answer is reset in its middle. */
    readonly shouldBreakOff: () => boolean;
}

const HEAD_END = "\r\n\r\n";
const WORK_MS = 20;

/** A server whose answers have no length, which the pages allow, and of which it may break some off with a reset. */
export class BrokenOffServer {
    /** Ids of the requests that it has run, and of those whose answer it has reset. */
    readonly ran: string[] = [];
    readonly brokenOff = new Set<string>();
    private readonly sockets = new Set<Socket>();
    private readonly server = createServer(socket => this.serve(socket));

    constructor(readonly id: string, private readonly opts: BrokenOffServerOptions) {}

    /** Starts listening on a free port; resolves to `address:port`. */
    async start(): Promise<string> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    stop(): void {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    /** Answers one request of a channel, which ends with the answer; a misdirected one keeps it open. */
    private serve(socket: Socket): void {
        let received = "";
        this.sockets.add(socket);
        socket.on("error", () => socket.destroy()).once("close", () => this.sockets.delete(socket));
        socket.on("data", bytes => {
            received += bytes.toString("latin1");
            const headEnd = received.indexOf(HEAD_END);
            if (headEnd === -1) {
                return;
            }
            const head = received.slice(0, headEnd);
            received = received.slice(headEnd + HEAD_END.length);
            if (!head.includes(`X-Expect-Instance: ${this.id}`)) {
                socket.write(
                    `HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: ${this.id}\r\nContent-Length: 0${HEAD_END}`,
                );
                return;
            }
            const id = /^x-request-id: (\S+)$/im.exec(head)?.[1] ?? "";
            this.ran.push(id);
            setTimeout(() => this.answer(socket, id), WORK_MS);
        });
    }

    private answer(socket: Socket, id: string): void {
        const { body } = this.opts;
        const fields = [`X-Request-Id: ${id}`, `X-Server-Stamp: stamp of ${this.id}`, "X-Server-Load: 1,0,6"];
        const head = Buffer.from(`HTTP/1.1 200 OK\r\n${fields.join("\r\n")}${HEAD_END}`);
        if (!this.opts.shouldBreakOff()) {
            socket.end(Buffer.concat([head, body]));
            return;
        }
        this.brokenOff.add(id);
        socket.write(Buffer.concat([head, body.subarray(0, body.length / 2)]));
        // Otherwise Node would end the channel in order before it resets it.
        socket.destroySoon = () => void socket.destroy();
        socket.resetAndDestroy();
    }
}
