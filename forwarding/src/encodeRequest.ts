import type { TargetRequest } from "./targetRequest.js";

/** Serializes a request as HTTP/1.1, with `Content-Length` if it has a body. */
export function encodeRequest({ method, path, headers, body }: TargetRequest): Buffer {
    const lines = [`${method} ${path} HTTP/1.1`];
    for (let i = 0; i + 1 < headers.length; i += 2) {
        lines.push(`${headers[i]}: ${headers[i + 1]}`);
    }
    if (body !== undefined) {
        lines.push(`Content-Length: ${body.length}`);
    }
    const head = Buffer.from(`${lines.join("\r\n")}\r\n\r\n`, "latin1");
    return body === undefined || body.length === 0 ? head : Buffer.concat([head, body]);
}
