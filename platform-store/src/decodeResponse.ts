import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";

/** Parses the body of a store's response as JSON. Failure: `storeRejected` if it does not match the schema. */
export function decodeResponse<S extends z.ZodType>(text: string, schema: S): Result<z.output<S>, Failure> {
    try {
        return ok(schema.parse(JSON.parse(text)));
    }
    catch (cause) {
        return err(new Failure("storeRejected", "the response of the store does not match its schema", { cause }));
    }
}
