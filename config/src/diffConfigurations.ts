import microdiff, { type Difference } from "microdiff";
import type { Configuration } from "./configuration.js";
import type { ConfigurationChange } from "./configurationChange.js";

const changeKinds = { CREATE: "added", REMOVE: "removed", CHANGE: "changed" } as const;

/**
 * Lists the differences between two configurations. Targets are matched by address and port, routes by methods and
 * path, and links by their two regions.
 */
export function diffConfigurations(before: Configuration | undefined, after: Configuration): ConfigurationChange[] {
    return microdiff(keyByIdentity(before), keyByIdentity(after)).map(toChange);
}

/** Turns routes, links and targets into objects with a key for each entry, so that their order does not matter. */
function keyByIdentity(configuration: Configuration | undefined) {
    if (configuration === undefined) {
        return {};
    }
    const { rules, targets } = configuration;
    return {
        ...rules,
        routes: Object.fromEntries(rules.routes.map(route => [`${route.methods.join("+")} ${route.path}`, route])),
        links: Object.fromEntries(rules.links.map(link => [`${link.from}>${link.to}`, link])),
        targets: Object.fromEntries(targets.map(target => [target.id, target])),
    };
}

function toChange(difference: Difference): ConfigurationChange {
    return {
        kind: changeKinds[difference.type],
        field: difference.path.join("."),
        ...("oldValue" in difference ? { before: JSON.stringify(difference.oldValue) } : {}),
        ...("value" in difference ? { after: JSON.stringify(difference.value) } : {}),
    };
}
