import { createHash } from "node:crypto";

/** SHA-256 in hex. */
export function digestContent(content: string): string {
    return createHash("sha256").update(content).digest("hex");
}
