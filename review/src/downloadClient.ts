import { connect } from "node:net";

interface DownloadOptions {
    /** `address:port` of a gateway host. */
    readonly address: string;
    readonly id: string;
    readonly path: string;
    readonly key: string;
    /** Object that the request concerns; none by default. */
    readonly object?: string;
    /** Time between two reads of the channel, in ms. */
    readonly readEveryMs: number;
    /** Whether the channel may carry further requests; `false` by default. */
    readonly isKept?: boolean;
}

/** What a client has got of an answer, and how its channel has ended. */
interface Download {
    readonly status: number | undefined;
    readonly hasStamp: boolean;
    /** Length that the answer states; `undefined` if it ends with its channel. */
    readonly statedBytes: number | undefined;
    readonly bytes: Buffer;
    readonly end: "orderly" | "reset";
}

const HEAD_END = "\r\n\r\n";

/** Asks for a file and reads it at the pace of a slow link, to the end of the channel or of the stated length. */
export function download(opts: DownloadOptions): Promise<Download> {
    const { address, id, path, key, object, readEveryMs, isKept = false } = opts;
    const [host = "", port] = address.split(":");
    return new Promise(resolve => {
        const pieces: Buffer[] = [];
        const socket = connect({ host, port: Number(port) });
        const finish = (end: Download["end"]) => {
            socket.destroy();
            const all = Buffer.concat(pieces);
            const headEnd = all.indexOf(HEAD_END);
            const head = all.toString("latin1", 0, Math.max(0, headEnd));
            const length = /^content-length: (\d+)$/im.exec(head)?.[1];
            resolve({
                status: headEnd === -1 ? undefined : Number(head.slice("HTTP/1.1 ".length, "HTTP/1.1 200".length)),
                hasStamp: /^x-server-stamp:/im.test(head),
                statedBytes: length === undefined ? undefined : Number(length),
                bytes: all.subarray(headEnd + HEAD_END.length),
                end,
            });
        };
        let receivedBytes = 0;
        let wholeBytes = Infinity;
        socket.on("data", piece => {
            pieces.push(piece);
            receivedBytes += piece.length;
            if (isKept && pieces.length === 1) {
                wholeBytes = wholeLength(piece);
            }
            if (receivedBytes >= wholeBytes) {
                finish("orderly");
                return;
            }
            socket.pause();
            setTimeout(() => socket.resume(), readEveryMs);
        });
        socket.once("end", () => finish("orderly")).once("error", () => finish("reset"));
        socket.write(
            [
                `GET ${path} HTTP/1.1`,
                "Host: witness.example",
                `X-Request-Id: ${id}`,
                "X-Deadline-Ms: 8000",
                `Authorization: Token ${key}`,
                ...(object === undefined ? [] : [`Cookie: X-Affinity-Key=${object}`]),
                ...(isKept ? [] : ["Connection: close"]),
            ].join("\r\n") + HEAD_END,
        );
    });
}

/** Length of the answer with its head, if the first bytes of it state a length; infinite otherwise. */
function wholeLength(start: Buffer): number {
    const headEnd = start.indexOf(HEAD_END);
    const length = /^content-length: (\d+)$/im.exec(start.toString("latin1", 0, Math.max(0, headEnd)))?.[1];
    return length === undefined ? Infinity : headEnd + HEAD_END.length + Number(length);
}
