import { spawnSync } from "node:child_process";
import { copyFileSync, mkdirSync, rmSync } from "node:fs";
import { join } from "node:path";
import { bundle } from "./bundle.mjs";

// Usage: node scripts/buildBundle.mjs FOLDER [NODE_FLAG...]
// Writes the program to FOLDER/gateway.cjs, with a V8 code cache for a Node.js that runs with the same flags.

const [folder = "target", ...flags] = process.argv.slice(2);
const program = join(folder, "gateway.cjs");
mkdirSync(folder, { recursive: true });
rmSync(join(folder, "bundle.cache"), { force: true });
await bundle("cli/src/gatewayMain.ts", join(folder, "bundle.cjs"), { undici: "scripts/undiciPool.cjs" });
copyFileSync("scripts/startCached.cjs", program);
// The first run writes the code cache.

spawnSync(process.execPath, [...flags, program], { stdio: "ignore" });
