import { build } from "esbuild";

/**
 * Bundles a program into one file.
 *
 * @param {string} entryPoint
 * @param {string} outfile
 */
export async function bundle(entryPoint, outfile) {
    await build({
        entryPoints: [entryPoint],
        outfile,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        // jsonc-parser's UMD build requires files at run time, which a bundle does not have.
        mainFields: ["module", "main"],
        logLevel: "warning",
    });
}
