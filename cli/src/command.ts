import type { Failure } from "@pistachioreel/result-code";
import type { Result } from "neverthrow";

/** Arguments of a command after parsing. */
export interface CommandInput {
    /** Arguments after the name of the command that are not flags. */
    readonly positionals: readonly string[];
    /** Values of the given flags by name, without dashes in front. */
    readonly flags: Readonly<Record<string, string | undefined>>;
}

/** Output of a command that succeeded. */
export interface CommandOutput {
    /** Output for people. */
    readonly text: string;
    /** Output for programs, printed with `--json`. */
    readonly json: unknown;
}

/** One command of the program. */
export interface Command {
    readonly name: string;
    /** One line for the list of commands. */
    readonly summary: string;
    /** Arguments, flags and an example, for `--help`. */
    readonly usage: string;
    /** Names of the flags that the command accepts besides `--help` and `--json`, without dashes in front. */
    readonly flags: readonly string[];
    /** Runs the command; all failures are reported together. */
    run(input: CommandInput): Promise<Result<CommandOutput, readonly Failure[]>>;
}
