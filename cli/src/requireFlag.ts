import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import type { CommandInput } from "./command.js";

/** Returns the value of a required flag. Failure: `argumentInvalid` if it is absent. */
export function requireFlag({ flags }: CommandInput, name: string): Result<string, Failure> {
    const value = flags[name];
    return value === undefined ? err(new Failure("argumentInvalid", `--${name} is required`)) : ok(value);
}
