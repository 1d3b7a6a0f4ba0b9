import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { type OnceRecord, onceRecordSchema } from "./onceRecord.js";

/** Reads a stored claim. Failure: `documentDamaged`. */
export function parseOnceRecord(text: string): Result<OnceRecord, Failure> {
    try {
        return ok(onceRecordSchema.parse(JSON.parse(text)));
    }
    catch (cause) {
        return err(new Failure("documentDamaged", "a stored claim does not match its schema", { cause }));
    }
}
