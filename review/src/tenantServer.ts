import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

interface TenantRun {
    readonly id: string;
    /** Bytes of `X-Tenant`; `undefined` without one. */
    readonly tenant: Buffer | undefined;
}

/** A server that keeps which tenant it was told for each request that it has run. */
export class TenantServer {
    readonly ran: TenantRun[] = [];
    /** Requests that could not be read, with the reason. */
    readonly unreadable: string[] = [];
    private readonly server = createServer((request, response) => this.handle(request, response));

    constructor(readonly id: string) {
        this.server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
            if (socket.writable) {
                this.unreadable.push(error.code ?? error.message);
                socket.end("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            }
        });
    }

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
        request.resume();
        if (request.headers["x-expect-instance"] !== this.id) {
            response.writeHead(421, { "X-Instance-Id": this.id, "Content-Length": 0 }).end();
            return;
        }
        const id = String(request.headers["x-request-id"]);
        const tenant = request.headers["x-tenant"];
        // Node decodes each byte of a header as one character.
        this.ran.push({ id, tenant: tenant === undefined ? undefined : Buffer.from(String(tenant), "latin1") });
        const headers = { "X-Request-Id": id, "X-Server-Stamp": `stamp of ${this.id}`, "X-Server-Load": "1,0,6" };
        response.writeHead(200, { ...headers, "Content-Length": 2 }).end("ok");
    }
}
