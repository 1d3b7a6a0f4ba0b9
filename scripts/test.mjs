// Usage: node scripts/test.mjs [FILE...]
// Runs the given test files, or those of all packages. Without arguments, the files listed in KNOWN-RED.txt run last,
// and their failures do not fail the run.
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const KNOWN_RED_FILE = "KNOWN-RED.txt";
/** Tests start fleets of processes; with more at once, results would depend on the machine and not on the program. */
const CONCURRENCY = 2;
/** Timeout of a test file, so that one that hangs fails instead of blocking the run. */
const TIMEOUT_MS = 240_000;

/** Test files of all packages. */
function testFiles() {
    const packages = JSON.parse(readFileSync("package.json", "utf8")).workspaces;
    return packages.flatMap(folder => {
        const directory = join(folder, "test");
        return existsSync(directory)
            ? readdirSync(directory).filter(name => name.endsWith(".test.ts")).map(name => join(directory, name))
            : [];
    });
}

/** Test files with known failures, each listed by a line `test: FILE`. */
function knownRedFiles() {
    const text = existsSync(KNOWN_RED_FILE) ? readFileSync(KNOWN_RED_FILE, "utf8") : "";
    return [...text.matchAll(/^test: (\S+)/gm)].map(match => match[1]);
}

/** Runs test files and returns the exit code. */
function run(files) {
    const args = [
        "--import",
        "tsx",
        "--test",
        `--test-concurrency=${CONCURRENCY}`,
        "--test-reporter=spec",
        `--test-timeout=${TIMEOUT_MS}`,
        ...files,
    ];
    return spawnSync(process.execPath, args, { stdio: "inherit" }).status ?? 1;
}

const requested = process.argv.slice(2);
const knownRed = knownRedFiles();
const files = (requested.length > 0 ? requested : testFiles()).filter(file =>
    requested.length > 0 || !knownRed.includes(file)
);
const status = run(files);
if (requested.length === 0) {
    for (const file of knownRed) {
        console.log(`known red: ${file}`);
        console.log(`known red: ${file} ${run([file]) === 0 ? "passes now; remove its entry" : "still fails"}`);
    }
}
process.exit(status);
