import { timingSafeEqual } from "node:crypto";
import { hashKey } from "./hashKey.js";
import type { KeyRegistry } from "./keyRegistry.js";

interface IssuedKeyHash {
    readonly hash: Buffer;
    readonly workspace: string;
}

const BUCKET_HEX_CHARACTERS = 8;

/** Finds the workspace of a key. Full hashes are compared in constant time. */
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

    /** The workspace of an issued key; `undefined` for any other key. */
    verify(key: string): string | undefined {
        const hash = hashKey(key);
        const bucket = this.buckets.get(hash.toString("hex", 0, BUCKET_HEX_CHARACTERS / 2)) ?? [];
        return bucket.find(entry => timingSafeEqual(entry.hash, hash))?.workspace;
    }
}
