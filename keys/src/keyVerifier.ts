import { timingSafeEqual } from "node:crypto";
import { hashKey } from "./hashKey.js";
import type { KeyRegistry } from "./keyRegistry.js";

interface IssuedKeyHash {
    readonly hash: Buffer;
    readonly workspace: string;
}

const BUCKET_HEX_CHARACTERS = 8;

/**
 * Finds the workspace of a key. Hashes are looked up by their first 32 bits and then compared in full in constant time.
 */
export class KeyVerifier {
    private readonly buckets = new Map<string, IssuedKeyHash[]>();

    constructor(registry: KeyRegistry) {
        for (const { hash, workspace, state } of registry.keys) {
            if (state === "issued") {
                const bucket = hash.slice(0, BUCKET_HEX_CHARACTERS);
                this.buckets.set(bucket, [...(this.buckets.get(bucket) ?? []), {
                    hash: Buffer.from(hash, "hex"),
                    workspace,
                }]);
            }
        }
    }

    /** Returns the workspace of an issued key; `undefined` if the key is unknown or withdrawn. */
    verify(key: string): string | undefined {
        const hash = hashKey(key);
        const bucket = this.buckets.get(hash.toString("hex", 0, BUCKET_HEX_CHARACTERS / 2)) ?? [];
        return bucket.find(entry => timingSafeEqual(entry.hash, hash))?.workspace;
    }
}
