import { runProgram } from "./program.js";

async function main(): Promise<void> {
    const { exitCode, stdout, stderr } = await runProgram(process.argv.slice(2));
    if (stdout !== "") {
        process.stdout.write(`${stdout}\n`);
    }
    if (stderr !== "") {
        process.stderr.write(`${stderr}\n`);
    }
    process.exitCode = exitCode;
}

void main();
