import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

interface RawRequest {
    /** `address:port` */
    readonly address: string;
    readonly lines: readonly string[];
    readonly chunks?: readonly string[];
}

const REPLY_TIMEOUT_MS = 9_000;

/** Sends the lines verbatim, then the chunks one by one; returns what is received until the connection closes. */
export async function sendRawRequest({ address, lines, chunks = [] }: RawRequest): Promise<string> {
    const [host, port] = address.split(":") as [string, string];
    const socket = connect(Number(port), host);
    let reply = "";
    const closed = new Promise<void>(resolve => socket.once("close", () => resolve()));
    socket.on("data", data => reply += String(data)).on("error", () => undefined);
    socket.write(`${lines.join("\r\n")}\r\n`);
    for (const chunk of chunks) {
        await sleep(50);
        socket.write(chunk);
    }
    await Promise.race([closed, sleep(REPLY_TIMEOUT_MS)]);
    socket.destroy();
    return reply;
}
