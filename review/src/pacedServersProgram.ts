import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** Time between two reads of a channel, in ms: with pieces of 64 KB, a link of about 50 Mbit/s. */
const READ_EVERY_MS = 10;
const WORK_MS = 50;
const HEAD_END = "\r\n\r\n";
const BODY = Buffer.alloc(400, "r");

/** Reads one request after the other from a channel, and answers each once its body is complete. */
function serve(socket: Socket): void {
    let head = Buffer.alloc(0);
    let id = "";
    let missingBytes: number | undefined;
    const answer = () =>
        setTimeout(() => {
            const fields = [
                `X-Request-Id: ${id}`,
                "X-Server-Stamp: stamp",
                "X-Server-Load: 1,0,6",
                `Content-Length: ${BODY.length}`,
            ];
            socket.write(`HTTP/1.1 200 OK\r\n${fields.join("\r\n")}${HEAD_END}`);
            socket.write(BODY);
        }, WORK_MS);
    const startRequest = (bytes: Buffer): number | undefined => {
        head = Buffer.concat([head, bytes]);
        const end = head.indexOf(HEAD_END);
        if (end === -1) {
            return undefined;
        }
        const text = head.toString("latin1", 0, end);
        const length = Number(/^content-length: (\d+)$/im.exec(text)?.[1] ?? 0);
        const missing = length - (head.length - end - HEAD_END.length);
        id = /^x-request-id: (\S+)$/im.exec(text)?.[1] ?? "";
        const isForOther = /^x-expect-instance: none$/im.test(text);
        head = Buffer.alloc(0);
        if (isForOther) {
            socket.write(`HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: other\r\nContent-Length: 0${HEAD_END}`);
            return undefined;
        }
        return missing;
    };
    socket.on("error", () => socket.destroy());
    socket.on("data", bytes => {
        missingBytes = missingBytes === undefined ? startRequest(bytes) : missingBytes - bytes.length;
        if (missingBytes !== undefined && missingBytes <= 0) {
            missingBytes = undefined;
            answer();
        }
        else if (missingBytes !== undefined) {
            socket.pause();
            setTimeout(() => socket.resume(), READ_EVERY_MS);
        }
    });
}

/** Starts servers on free ports and prints their addresses on one line. */
async function run(count: number): Promise<void> {
    const addresses: string[] = [];
    for (let index = 0; index < count; index++) {
        const server = createServer(serve);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        addresses.push(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    }
    process.stdout.write(`${addresses.join(" ")}\n`);
}

void run(Number(process.argv[2]));
