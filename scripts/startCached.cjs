// Starts the bundle beside this file. V8's code cache of the bundle, made when it was built, saves most of the time that
// compiling takes at each start; a cache that does not fit this V8 is ignored.
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
