import type { IncomingMessage } from "node:http";

/** Length in bytes that the head of a request states for its body: 0 without a body, `undefined` for one in chunks. */
export function statedBodyBytes({ headers }: Pick<IncomingMessage, "headers">): number | undefined {
    return headers["transfer-encoding"] === undefined ? Number(headers["content-length"] ?? 0) : undefined;
}
