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
export function download({ address, id, path, key, object, readEveryMs }: DownloadOptions): Promise<Download> {
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
        socket.on("data", piece => {
            pieces.push(piece);
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
                "Connection: close",
            ].join("\r\n") + HEAD_END,
        );
    });
}
