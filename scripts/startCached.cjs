// Runs the bundle in the same folder with the V8 code cache that the build created. The cache saves most of the
// compilation time at each start; V8 ignores a cache that does not match its version, its flags or the bundle.
const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const Module = require("node:module");
const { dirname, join } = require("node:path");
const { Script } = require("node:vm");

const bundle = join(__dirname, "bundle.cjs");
const cache = join(__dirname, "bundle.cache");
const cachedData = existsSync(cache) ? readFileSync(cache) : undefined;
const script = new Script(Module.wrap(readFileSync(bundle, "utf8")), { filename: bundle, cachedData });
if (cachedData === undefined) {
    process.once("exit", () => writeFileSync(cache, script.createCachedData()));
}
const main = new Module(bundle);
script.runInThisContext()(main.exports, require, main, bundle, dirname(bundle));
