import { spawnSync } from "node:child_process";
import { copyFileSync, mkdirSync, rmSync } from "node:fs";
import { join } from "node:path";
import { bundle } from "./bundle.mjs";

// Usage: node scripts/buildBundle.mjs FOLDER [NODE_FLAG...]
// Writes the program to FOLDER/gateway.cjs, with a code cache for a node that runs with these flags.

const [folder = "target", ...flags] = process.argv.slice(2);
const program = join(folder, "gateway.cjs");
mkdirSync(folder, { recursive: true });
rmSync(join(folder, "bundle.cache"), { force: true });
await bundle("cli/src/gatewayMain.ts", join(folder, "bundle.cjs"));
copyFileSync("scripts/startCached.cjs", program);
// The first run writes the cache.

spawnSync(process.execPath, [...flags, program], { stdio: "ignore" });
