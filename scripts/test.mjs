import { spawnSync } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

const KNOWN_RED_FILE = "KNOWN-RED.txt";
/** Tests start fleets of processes; more of them at once would measure the machine and not the program. */
const CONCURRENCY = 2;
/** A test file that hangs fails instead of blocking the run. */
const TIMEOUT_MS = 240_000;

function testFiles() {
    const packages = JSON.parse(readFileSync("package.json", "utf8")).workspaces;
    return packages.flatMap(folder => {
        const directory = join(folder, "test");
        return existsSync(directory)
            ? readdirSync(directory).filter(name => name.endsWith(".test.ts")).map(name => join(directory, name))
            : [];
    });
}

/** Files named by lines `test: FILE` hold tests that fail because of a known fault. */
function knownRedFiles() {
    const text = existsSync(KNOWN_RED_FILE) ? readFileSync(KNOWN_RED_FILE, "utf8") : "";
    return [...text.matchAll(/^test: (\S+)/gm)].map(match => match[1]);
}

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

const only = process.argv.slice(2);
const knownRed = knownRedFiles();
const files = (only.length > 0 ? only : testFiles()).filter(file => only.length > 0 || !knownRed.includes(file));
const status = run(files);
if (only.length === 0) {
    for (const file of knownRed) {
        console.log(`known red: ${file}`);
        console.log(`known red: ${file} ${run([file]) === 0 ? "passes now; remove its entry" : "still fails"}`);
    }
}
process.exit(status);
