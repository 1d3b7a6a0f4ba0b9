import { readdirSync } from "node:fs";
import { bundle } from "../../scripts/bundle.mjs";

// Usage: node review/src/build.mjs
// Writes the driver of each case, with all stand-ins that it starts, to review/target.

const DRIVERS = /^(?!run)(\w+)Case\.ts$/;

for (const file of readdirSync("review/src")) {
    const name = DRIVERS.exec(file)?.[1];
    if (name !== undefined) {
        await bundle(`review/src/${file}`, `review/target/${name}.cjs`);
    }
}
