import { randomBytes } from "node:crypto";

const KEY_PREFIX = "prk_";
const KEY_BYTES = 32;

/** Creates a key: a fixed prefix, which secret scanners can find, and 256 random bits. */
export function generateKey(random: (bytes: number) => Buffer = randomBytes): string {
    return KEY_PREFIX + random(KEY_BYTES).toString("base64url");
}
