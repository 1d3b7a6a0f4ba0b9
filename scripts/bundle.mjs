import { build } from "esbuild";
import { resolve } from "node:path";

/**
 * Bundles a program and its dependencies into one CommonJS file for Node.js 20.
 *
 * @param {string} entryPoint
 * @param {string} outfile
 * @param {Record<string, string>} replacements Files to use in place of packages, by package name.
 */
export async function bundle(entryPoint, outfile, replacements = {}) {
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
        plugins: [replacePackages(replacements)],
    });
}

/** Unlike the option `alias`, leaves imports of a package's inner files as they are. */
function replacePackages(replacements) {
    return {
        name: "replace-packages",
        setup(build) {
            for (const [name, file] of Object.entries(replacements)) {
                build.onResolve({ filter: new RegExp(`^${name}$`) }, () => ({ path: resolve(file) }));
            }
        },
    };
}
