import type { Failure } from "@pistachioreel/result-code";
import type { Result } from "neverthrow";

/** Arguments of a command after parsing. */
export interface CommandInput {
    /** Words after the name of the command. */
    readonly positionals: readonly string[];
    readonly flags: Readonly<Record<string, string | undefined>>;
}

/** What a command has to say, for people and for programs. */
export interface CommandOutput {
    readonly text: string;
    readonly json: unknown;
}

/** One command of the program. */
export interface Command {
    readonly name: string;
    readonly summary: string;
    /** Arguments, flags and an example, for `--help`. */
    readonly usage: string;
    /** Names of the flags that the command accepts besides `--help` and `--json`, without dashes. */
    readonly flags: readonly string[];
    /** Runs the command; all failures are reported together. */
    run(input: CommandInput): Promise<Result<CommandOutput, readonly Failure[]>>;
}
