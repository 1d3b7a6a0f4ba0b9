import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import type { CommandInput } from "./command.js";

/** The value of a flag that must be given. Failure: `argumentInvalid`. */
export function requireFlag({ flags }: CommandInput, name: string): Result<string, Failure> {
    const value = flags[name];
    return value === undefined ? err(new Failure("argumentInvalid", `--${name} is required`)) : ok(value);
}
