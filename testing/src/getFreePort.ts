import { randomInt } from "node:crypto";
import { once } from "node:events";
import { createServer } from "node:net";

/** Ports below those that the system gives to outgoing connections, which could take a port before it is used. */
const MIN_PORT = 10_000;
const MAX_PORT = 32_000;
/** Ports that this process has returned. */
const returned = new Set<number>();

/** Returns a port of 127.0.0.1 on which no process listens. Another process can still take it before it is used. */
export async function getFreePort(): Promise<number> {
    for (;;) {
        const port = randomInt(MIN_PORT, MAX_PORT);
        if (!returned.has(port) && await isFree(port)) {
            returned.add(port);
            return port;
        }
    }
}

async function isFree(port: number): Promise<boolean> {
    const server = createServer().listen(port, "127.0.0.1");
    try {
        await once(server, "listening");
    }
    catch {
        // The port is in use.
        return false;
    }
    server.close();
    await once(server, "close");
    return true;
}
