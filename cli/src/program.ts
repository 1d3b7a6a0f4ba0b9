import { Failure } from "@pistachioreel/result-code";
import meow from "meow";
import { err, ok, type Result } from "neverthrow";
import type { Command, CommandInput } from "./command.js";
import { apply } from "./commands/apply.js";
import { blocks } from "./commands/blocks.js";
import { diff } from "./commands/diff.js";
import { drain } from "./commands/drain.js";
import { entry } from "./commands/entry.js";
import { explain } from "./commands/explain.js";
import { gateway } from "./commands/gateway.js";
import { key } from "./commands/key.js";
import { lookup } from "./commands/lookup.js";
import { status } from "./commands/status.js";
import { timeline } from "./commands/timeline.js";
import { validate } from "./commands/validate.js";

interface ProgramOutput {
    /** 0: done, 1: failed, 2: wrong usage. */
    readonly exitCode: number;
    readonly stdout: string;
    readonly stderr: string;
}

const PROGRAM = "pistachioreel";
const VERSION = "0.1.0";
const commands: readonly Command[] = [
    entry,
    gateway,
    validate,
    diff,
    apply,
    blocks,
    key,
    drain,
    status,
    lookup,
    timeline,
    explain,
];

/** Runs the command that the first argument names. Returns its exit code and its output, which the caller writes. */
export async function runProgram(args: readonly string[]): Promise<ProgramOutput> {
    const command = commands.find(({ name }) => name === args[0]);
    const cli = meow({
        importMeta: { url: `file:///${PROGRAM}` } as ImportMeta,
        pkg: { name: PROGRAM, version: VERSION },
        argv: args,
        autoHelp: false,
        autoVersion: false,
        flags: {
            help: { type: "boolean" },
            version: { type: "boolean" },
            json: { type: "boolean" },
            ...Object.fromEntries((command?.flags ?? []).map(name => [camelCase(name), { type: "string" as const }])),
        },
    });
    const { help, version, json, ...parsedFlags } = cli.flags as Record<string, unknown>;
    if (version) {
        return { exitCode: 0, stdout: VERSION, stderr: "" };
    }
    if (command === undefined) {
        return renderOverview(args[0] ?? "", help === true);
    }
    if (help) {
        return { exitCode: 0, stdout: renderHelp(command), stderr: "" };
    }
    const flags = validateFlags(command, parsedFlags);
    const input = flags.map(checked => ({ positionals: cli.input.slice(1), flags: checked }));
    const result = input.isErr() ? err(input.error) : await command.run(input.value);
    if (result.isErr()) {
        return renderFailures(result.error, json === true);
    }
    return { exitCode: 0, stdout: json ? JSON.stringify(result.value.json) : result.value.text, stderr: "" };
}

/** Returns the flags by their names in kebab case. Each must be accepted by the command and have a value. */
function validateFlags(
    command: Command,
    parsedFlags: Record<string, unknown>,
): Result<CommandInput["flags"], Failure[]> {
    const flags: Record<string, string> = {};
    const failures: Failure[] = [];
    for (const [camelName, value] of Object.entries(parsedFlags).filter(([, found]) => found !== undefined)) {
        const name = command.flags.find(accepted => camelCase(accepted) === camelName);
        if (name === undefined || value === "") {
            const reason = name === undefined ? `unknown flag --${camelName}` : `--${name} needs a value`;
            failures.push(new Failure("argumentInvalid", `${command.name}: ${reason}`));
        }
        else {
            flags[name] = String(value);
        }
    }
    return failures.length > 0 ? err(failures) : ok(flags);
}

function camelCase(name: string): string {
    return name.replace(/-(\w)/g, (_, letter: string) => letter.toUpperCase());
}

function renderOverview(name: string, isHelp: boolean): ProgramOutput {
    const lines = commands.map(({ name: command, summary }) => `  ${command.padEnd(10)} ${summary}`);
    const text = [`Usage: ${PROGRAM} COMMAND [--json] [--help]`, "", ...lines].join("\n");
    if (isHelp || name === "") {
        return { exitCode: isHelp ? 0 : 2, stdout: isHelp ? text : "", stderr: isHelp ? "" : text };
    }
    return { exitCode: 2, stdout: "", stderr: `${PROGRAM}: unknown command ${name}\n${text}` };
}

function renderHelp({ name, summary, usage }: Command): string {
    return `${PROGRAM} ${name}: ${summary}\n\nUsage: ${PROGRAM} ${name} ${usage}\n\n` +
        "Exit codes: 0 done, 1 failed, 2 wrong usage. --json prints JSON.";
}

function renderFailures(failures: readonly Failure[], json: boolean): ProgramOutput {
    const isUsageError = failures.every(failure => failure.code === "argumentInvalid");
    const lines = failures.map(failure => `PR${failure.number} ${failure.message}\n  hint: ${failure.hint}`);
    const entries = failures.map(({ number, code, message, hint, details }) => ({
        number,
        code,
        message,
        hint,
        details,
    }));
    return {
        exitCode: isUsageError ? 2 : 1,
        stdout: json ? JSON.stringify({ failures: entries }) : "",
        stderr: json ? "" : lines.join("\n"),
    };
}
