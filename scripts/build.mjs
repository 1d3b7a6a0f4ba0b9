// Builds the program as a bundle and as a single executable application, and the bundle of the stand-ins for tests.
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, readFileSync, renameSync, writeFileSync } from "node:fs";
import { inject } from "postject";
import { bundle } from "./bundle.mjs";

const SEA_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const BUNDLE = "dist/pistachioreel.cjs";
const BINARY = "dist/pistachioreel";

mkdirSync("dist", { recursive: true });
await bundle("cli/src/main.ts", BUNDLE);
await bundle("testing/src/standInMain.ts", "dist/standIn.cjs");

const seaConfig = { main: BUNDLE, output: "dist/sea.blob", disableExperimentalSEAWarning: true };
writeFileSync("dist/sea.json", JSON.stringify(seaConfig));
execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea.json"], { stdio: "ignore" });
copyFileSync(process.execPath, `${BINARY}.new`);
// Suppresses warnings of postject about ELF notes of the node executable, which are harmless.
console.warn = console.log = () => {};
await inject(`${BINARY}.new`, "NODE_SEA_BLOB", readFileSync("dist/sea.blob"), { sentinelFuse: SEA_FUSE });
chmodSync(`${BINARY}.new`, 0o755);
// The rename replaces the binary atomically, so that processes running the old one are not affected.
renameSync(`${BINARY}.new`, BINARY);
