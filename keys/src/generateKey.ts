import { randomBytes } from "node:crypto";

const KEY_PREFIX = "prk_";
const KEY_BYTES = 32;

/** Generates a key: a fixed prefix, by which secret scanners recognize it, and 256 random bits in base64url. */
export function generateKey(random: (bytes: number) => Buffer = randomBytes): string {
    return KEY_PREFIX + random(KEY_BYTES).toString("base64url");
}
