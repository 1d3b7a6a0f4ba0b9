import type { Failure } from "@pistachioreel/result-code";
import meow from "meow";
import type { Command } from "./command.js";
import { apply } from "./commands/apply.js";
import { entry } from "./commands/entry.js";
import { key } from "./commands/key.js";
import { validate } from "./commands/validate.js";

interface ProgramOutput {
    /** 0 done, 1 failed, 2 wrong usage. */
    readonly exitCode: number;
    readonly stdout: string;
    readonly stderr: string;
}

const PROGRAM = "pistachioreel";
const VERSION = "0.1.0";
const commands: readonly Command[] = [entry, validate, apply, key];

/** Runs the program with its arguments. */
export async function runProgram(args: readonly string[]): Promise<ProgramOutput> {
    const cli = meow({
        importMeta: { url: `file:///${PROGRAM}` } as ImportMeta,
        pkg: { name: PROGRAM, version: VERSION },
        argv: args,
        autoHelp: false,
        autoVersion: false,
        flags: { help: { type: "boolean" }, version: { type: "boolean" }, json: { type: "boolean" } },
    });
    const [name = "", ...words] = cli.input;
    const command = commands.find(candidate => candidate.name === name);
    if (cli.flags.version) {
        return { exitCode: 0, stdout: VERSION, stderr: "" };
    }
    if (command === undefined) {
        return overview(name, cli.flags.help);
    }
    if (cli.flags.help) {
        return { exitCode: 0, stdout: helpOf(command), stderr: "" };
    }
    const result = await command.run({ words, flags: textFlags(cli.flags) });
    if (result.isErr()) {
        return failed(result.error, cli.flags.json);
    }
    const { text, json } = result.value;
    return { exitCode: 0, stdout: cli.flags.json ? JSON.stringify(json) : text, stderr: "" };
}

function textFlags(flags: Record<string, unknown>): Record<string, string | undefined> {
    return Object.fromEntries(
        Object.entries(flags).filter(([, value]) => value !== undefined).map(([name, value]) => [name, String(value)]),
    );
}

function overview(name: string, isHelp: boolean | undefined): ProgramOutput {
    const lines = commands.map(({ name: command, summary }) => `  ${command.padEnd(10)} ${summary}`);
    const text = [`Usage: ${PROGRAM} COMMAND [--json] [--help]`, "", ...lines].join("\n");
    if (isHelp || name === "") {
        return { exitCode: isHelp ? 0 : 2, stdout: isHelp ? text : "", stderr: isHelp ? "" : text };
    }
    return { exitCode: 2, stdout: "", stderr: `${PROGRAM}: unknown command ${name}\n${text}` };
}

function helpOf({ name, summary, usage }: Command): string {
    return `${PROGRAM} ${name}: ${summary}\n\nUsage: ${PROGRAM} ${name} ${usage}\n\n` +
        "Exit codes: 0 done, 1 failed, 2 wrong usage. --json prints JSON.";
}

function failed(failures: readonly Failure[], json: boolean | undefined): ProgramOutput {
    const isUsage = failures.every(failure => failure.code === "argumentInvalid");
    const lines = failures.map(failure => `PR${failure.number} ${failure.message}\n  hint: ${failure.hint}`);
    const entries = failures.map(({ number, code, message, hint, details }) => ({
        number,
        code,
        message,
        hint,
        details,
    }));
    return {
        exitCode: isUsage ? 2 : 1,
        stdout: json ? JSON.stringify({ failures: entries }) : "",
        stderr: json ? "" : lines.join("\n"),
    };
}
