import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";

/** Returns a port of 127.0.0.1 on which no process listens. Another process can still take it before it is used. */
export async function getFreePort(): Promise<number> {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return port;
}
