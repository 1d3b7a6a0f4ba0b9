import { createHash } from "node:crypto";
import type { RelayedRequest } from "./relayedRequest.js";

/** Digest by which repeats of the same request of a workspace are recognized, at any host and in any version. */
export function requestDigest(
    { method, url, body, workspace, route }: Pick<RelayedRequest, "method" | "url" | "body" | "workspace" | "route">,
): string {
    const head = `${workspace?.name ?? ""}\n${method}\n${route.host}\n${url}\n`;
    return createHash("sha256").update(head).update(body ?? "").digest("hex");
}
