import type { Failure } from "@pistachioreel/result-code";
import { err, type Result } from "neverthrow";
import type { CommandInput } from "./command.js";
import { readTextFile } from "./readTextFile.js";
import { requireFlag } from "./requireFlag.js";

/**
 * Reads the file that `--settings` names and parses it. Failures: `argumentInvalid`, `fileUnreadable` and those of
 * `parse`.
 */
export async function readSettings<T>(
    input: CommandInput,
    parse: (file: string, text: string) => Result<T, Failure[]>,
): Promise<Result<T, Failure[]>> {
    const path = requireFlag(input, "settings");
    if (path.isErr()) {
        return err([path.error]);
    }
    const text = await readTextFile(path.value);
    return text.mapErr(failure => [failure]).andThen(content => parse(path.value, content));
}
