import { Failure, type resultCodes } from "@pistachioreel/result-code";
import type { FilePosition } from "./filePosition.js";

interface FieldFailureOptions extends FilePosition {
    readonly file: string;
    readonly field: string;
    readonly found: string;
    readonly accepted: string;
}

const MAX_FOUND_CHARACTERS = 80;

/**
 * Creates the failure for one invalid field. Its message and details contain the position, the value found (at most 80
 * characters of it) and a description of the accepted values.
 */
export function fieldFailure(code: keyof typeof resultCodes, opts: FieldFailureOptions): Failure {
    const found = opts.found.length > MAX_FOUND_CHARACTERS
        ? `${opts.found.slice(0, MAX_FOUND_CHARACTERS)}…`
        : opts.found;
    const position = `${opts.file}:${opts.line}:${opts.column}`;
    return new Failure(code, `${position}: ${opts.field}: found ${found}, accepted: ${opts.accepted}`, {
        details: { ...opts, found },
    });
}
