import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { readFile } from "node:fs/promises";

/** Reads a file as UTF-8. Failure: `fileUnreadable`. */
export async function readTextFile(path: string): Promise<Result<string, Failure>> {
    try {
        return ok(await readFile(path, "utf8"));
    }
    catch (cause) {
        const reason = cause instanceof Error && "code" in cause ? String(cause.code) : "unknown";
        return err(new Failure("fileUnreadable", `${path}: cannot be read (${reason})`, { cause }));
    }
}
