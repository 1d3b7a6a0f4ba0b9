import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { generateKey } from "./generateKey.js";
import { hashKey } from "./hashKey.js";
import { type KeyRecord, keyRecordSchema } from "./keyRecord.js";

const contentSchema = z.object({ keys: z.array(keyRecordSchema) });

interface KeyChangeOptions {
    /** Id of the key's record. */
    readonly id: string;
    /** Wall-clock time that is recorded as the time of the change. */
    readonly now: Date;
}

interface IssuedKey {
    /** Registry with the record of the new key. */
    readonly registry: KeyRegistry;
    /** The key itself, which is shown to the operator once; only its hash is stored. */
    readonly key: string;
}

/**
 * Records of all keys of all workspaces. Immutable: each change returns a new registry. A withdrawn key keeps its
 * record and is never issued again.
 */
export class KeyRegistry {
    /** @param keys Records of all keys, in the order of issue. */
    constructor(readonly keys: readonly KeyRecord[] = []) {}

    /** Parses the content of the stored document. Failure: `documentDamaged`. */
    static fromContent(content: string): Result<KeyRegistry, Failure> {
        try {
            return ok(new KeyRegistry(contentSchema.parse(JSON.parse(content)).keys));
        }
        catch (cause) {
            return err(new Failure("documentDamaged", "the stored key records do not match their schema", { cause }));
        }
    }

    /** Serializes the records for the stored document. */
    toContent(): string {
        return JSON.stringify({ keys: this.keys });
    }

    /** Issues a new key. A workspace can have several issued keys, which allows rotation without interruption. */
    issue(workspace: string, opts: KeyChangeOptions): IssuedKey {
        const key = generateKey();
        const record: KeyRecord = {
            id: opts.id,
            workspace,
            hash: hashKey(key).toString("hex"),
            state: "issued",
            changedAt: opts.now.toISOString(),
        };
        return { registry: new KeyRegistry([...this.keys, record]), key };
    }

    /** Withdraws a key. Has no effect on a key that is already withdrawn. Failure: `keyUnknown`. */
    withdraw(opts: KeyChangeOptions): Result<KeyRegistry, Failure> {
        const record = this.keys.find(key => key.id === opts.id);
        if (record === undefined) {
            return err(new Failure("keyUnknown", `no key has the id ${opts.id}`));
        }
        if (record.state === "withdrawn") {
            return ok(this);
        }
        const withdrawn: KeyRecord = { ...record, state: "withdrawn", changedAt: opts.now.toISOString() };
        return ok(new KeyRegistry(this.keys.map(key => key === record ? withdrawn : key)));
    }
}
