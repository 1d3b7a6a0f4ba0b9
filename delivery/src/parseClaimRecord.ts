import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { type ClaimRecord, claimRecordSchema } from "./claimRecord.js";

/** Parses a stored claim. Failure: `documentDamaged`. */
export function parseClaimRecord(text: string): Result<ClaimRecord, Failure> {
    try {
        return ok(claimRecordSchema.parse(JSON.parse(text)));
    }
    catch (cause) {
        return err(new Failure("documentDamaged", "a stored claim does not match its schema", { cause }));
    }
}
