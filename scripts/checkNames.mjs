// Checks that names of the users' platform appear in no package but its adapter; lists other uses and exits with 1.
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

// Header names, paths and fields of the users' platform. Only the adapter may depend on them.
const PLATFORM_NAMES =
    /x-expect-instance|x-server-stamp|x-server-load|x-affinity-key|x-tenant|x-instance-id|x-cold-ms|server-leaving|server-limit|\/objects\b|api_keys|traffic_split|cold_left|max_conns|path_prefix|allowed_regions|store_revision|has_more|rate_per_s|\/resolve\b|target_latency|sticky_sessions/i;
const ADAPTER = "platform";

const packages = JSON.parse(readFileSync("package.json", "utf8")).workspaces.filter(name => name !== ADAPTER);
const violations = packages.flatMap(folder => sources(folder)).flatMap(file =>
    readFileSync(file, "utf8").split("\n").flatMap((line, index) => {
        const name = PLATFORM_NAMES.exec(line)?.[0];
        return name === undefined ? [] : [`${file}:${index + 1}: ${name} may be used only in ${ADAPTER}/`];
    })
);
violations.forEach(line => console.error(line));
process.exit(violations.length > 0 ? 1 : 0);

/** @param {string} folder @returns {string[]} */
function sources(folder) {
    return readdirSync(folder, { withFileTypes: true, recursive: true })
        .filter(entry => entry.isFile() && entry.name.endsWith(".ts") && !entry.parentPath.includes("node_modules"))
        .map(entry => join(entry.parentPath, entry.name));
}
