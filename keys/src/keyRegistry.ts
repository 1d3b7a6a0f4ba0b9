import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { generateKey } from "./generateKey.js";
import { hashKey } from "./hashKey.js";
import { type KeyRecord, keyRecordSchema } from "./keyRecord.js";

const contentSchema = z.object({ keys: z.array(keyRecordSchema) });

interface KeyChangeOptions {
    readonly id: string;
    readonly now: Date;
}

interface IssuedKey {
    readonly registry: KeyRegistry;
    /** Shown to the operator once; only its hash is kept. */
    readonly key: string;
}

/** All keys of all workspaces. Immutable; each change gives a new ledger. A withdrawn key is never issued again. */
export class KeyRegistry {
    constructor(readonly keys: readonly KeyRecord[] = []) {}

    static fromContent(content: string): Result<KeyRegistry, Failure> {
        try {
            return ok(new KeyRegistry(contentSchema.parse(JSON.parse(content)).keys));
        }
        catch (cause) {
            return err(new Failure("documentDamaged", "the stored key ledger does not match its schema", { cause }));
        }
    }

    /** Content for the stored document. */
    toContent(): string {
        return JSON.stringify({ keys: this.keys });
    }

    /** Adds a new key; a workspace can have several, which allows rotation without a gap. */
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

    /** Withdraws a key. Withdrawing it again changes nothing. Failure: `keyUnknown`. */
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
