import { connect, type Socket } from "node:net";

interface CrowdChannelOptions {
    /** `address:port` of a gateway host. */
    readonly address: string;
}

/** A channel of a client to a gateway host, on which it sends one request after the other. */
export class CrowdChannel {
    private isOpen = true;
    private readonly socket: Socket;

    constructor({ address }: CrowdChannelOptions) {
        const [host = "", port] = address.split(":");
        this.socket = connect({ host, port: Number(port) });
        this.socket.setMaxListeners(0);
        this.socket.on("error", () => this.socket.destroy()).once("close", () => this.isOpen = false);
    }

    get canSend(): boolean {
        return this.isOpen;
    }

    /** Sends one request; resolves to the status of its answer, or to `closed`. */
    send(head: string, body?: Buffer): Promise<string> {
        return new Promise(resolve => {
            const finish = (outcome: string) => {
                this.socket.off("data", onData).off("close", onClose);
                resolve(outcome);
            };
            const onData = (bytes: Buffer) =>
                finish(bytes.toString("latin1", "HTTP/1.1 ".length, "HTTP/1.1 200".length));
            const onClose = () => finish("closed");
            this.socket.on("data", onData).once("close", onClose);
            this.socket.write(head);
            if (body !== undefined) {
                this.socket.write(body);
            }
        });
    }

    close(): void {
        this.socket.destroy();
    }
}
