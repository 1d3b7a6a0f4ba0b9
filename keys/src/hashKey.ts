import { createHash } from "node:crypto";

/** Returns the SHA-256 hash of a key. Keys have 256 random bits, so that no slow password hash is needed. */
export function hashKey(key: string): Buffer {
    return createHash("sha256").update(key).digest();
}
