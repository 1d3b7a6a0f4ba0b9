import { mkdirSync } from "node:fs";
import { dirname } from "node:path";
import { bundle } from "./bundle.mjs";

// Usage: node scripts/buildBundle.mjs OUTFILE

const [outfile = "dist/pistachioreel.cjs"] = process.argv.slice(2);
mkdirSync(dirname(outfile), { recursive: true });
await bundle("cli/src/main.ts", outfile);
