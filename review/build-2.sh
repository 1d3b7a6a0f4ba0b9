#!/usr/bin/env bash
# Builds the stand-ins and scripts of the cases 6 to 10 into target/review-2. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
node --input-type=module - <<'JS'
import { existsSync, readdirSync } from "node:fs";
import { bundle } from "./scripts/bundle.mjs";

const programs = readdirSync("review/src").filter(name => /(Trial|Program)\.ts$/.test(name));
for (const name of programs) {
    await bundle(`review/src/${name}`, `target/review-2/${name.replace(/\.ts$/, ".cjs")}`);
}
if (!existsSync("target/gateway.cjs")) {
    throw new Error("target/gateway.cjs is missing: run the build of deploy/system.toml first");
}
JS
