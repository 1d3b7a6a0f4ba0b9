import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** A server of large files. It states their length, or ends its answer with its channel, which the pages allow. */
export class ArchiveServer {
    /** Ids of the requests that it has run. */
    readonly ran: string[] = [];
    private readonly server = createServer((request, response) => this.handle(request, response));

    constructor(readonly id: string, private readonly file: Buffer) {}

    /** Starts listening on a free port; resolves to `address:port`. */
    async start(): Promise<string> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    stop(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private handle(request: IncomingMessage, response: ServerResponse): void {
        if (request.headers["x-expect-instance"] !== this.id) {
            response.writeHead(421, { "X-Instance-Id": this.id, "Content-Length": 0 }).end();
            return;
        }
        const id = String(request.headers["x-request-id"]);
        this.ran.push(id);
        const headers = { "X-Request-Id": id, "X-Server-Stamp": `stamp of ${this.id}`, "X-Server-Load": "1,0,6" };
        if (request.url?.includes("/with-length/")) {
            response.writeHead(200, { ...headers, "Content-Length": this.file.length }).end(this.file);
            return;
        }
        response.useChunkedEncodingByDefault = false;
        response.writeHead(200, { ...headers, "Connection": "close" }).end(this.file);
    }
}
