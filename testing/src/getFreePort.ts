import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";

/** A port of 127.0.0.1 on which nothing listens now. */
export async function getFreePort(): Promise<number> {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return port;
}
