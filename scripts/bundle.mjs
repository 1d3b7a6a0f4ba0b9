import { build } from "esbuild";

/**
 * Bundles a program and its dependencies into one CommonJS file for Node.js 20.
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
        // Prefers ES modules, because the UMD build of jsonc-parser requires files at run time that a bundle lacks.
        mainFields: ["module", "main"],
        logLevel: "warning",
    });
}
