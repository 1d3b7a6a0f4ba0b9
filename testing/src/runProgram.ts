import { execFile } from "node:child_process";
import { promisify } from "node:util";

const TIMEOUT_MS = 30_000;

/** Runs the bundled program with additions to the environment and returns its standard output; rejects with its error output if it fails. */
export async function runProgram(
    bundle: string,
    args: readonly string[],
    env: Readonly<Record<string, string>> = {},
): Promise<string> {
    const { stdout } = await promisify(execFile)(process.execPath, [bundle, ...args], {
        timeout: TIMEOUT_MS,
        env: { ...process.env, ...env },
    });
    return stdout.trim();
}
