import { createHash } from "node:crypto";

/** Returns the SHA-256 digest of the UTF-8 bytes of the content, in hex. */
export function digestContent(content: string): string {
    return createHash("sha256").update(content).digest("hex");
}
