import { validateHeaderValue } from "node:http";
import type { TargetRequest } from "./targetRequest.js";

/**
 * Serializes a request as HTTP/1.1, with `Content-Length` if it has a body.
 *
 * @throws TypeError if a header holds a control character, or a character that is not one byte.
 */
export function encodeRequest({ method, path, headers, body }: TargetRequest): Buffer {
    const lines = [`${method} ${path} HTTP/1.1`];
    for (let i = 0; i + 1 < headers.length; i += 2) {
        const [name, value] = [headers[i] as string, headers[i + 1] as string];
        validateHeaderValue(name, value);
        lines.push(`${name}: ${value}`);
    }
    if (body !== undefined) {
        lines.push(`Content-Length: ${body.length}`);
    }
    const head = Buffer.from(`${lines.join("\r\n")}\r\n\r\n`, "latin1");
    return body === undefined || body.length === 0 ? head : Buffer.concat([head, body]);
}
