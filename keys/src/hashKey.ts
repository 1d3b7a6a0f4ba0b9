import { createHash } from "node:crypto";

/** SHA-256 of a key. Keys are 256 random bits, so that a slow password hash is not needed. */
export function hashKey(key: string): Buffer {
    return createHash("sha256").update(key).digest();
}
