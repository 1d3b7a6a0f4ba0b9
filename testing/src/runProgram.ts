import { execFile } from "node:child_process";
import { promisify } from "node:util";

const TIMEOUT_MS = 30_000;

/**
 * Runs a bundled program with additional environment variables and returns its trimmed standard output. Rejects with
 * its error output if it exits with another code than 0 or runs longer than 30 s.
 */
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
