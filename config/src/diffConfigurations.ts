import microdiff, { type Difference } from "microdiff";
import type { Configuration } from "./configuration.js";
import type { ConfigurationChange } from "./configurationChange.js";

const changeKinds = { CREATE: "added", REMOVE: "removed", CHANGE: "changed" } as const;

/** Differences from one configuration to the next. Targets are matched by address, routes by path and methods. */
export function diffConfigurations(before: Configuration | undefined, after: Configuration): ConfigurationChange[] {
    return microdiff(keyByIdentity(before), keyByIdentity(after)).map(toChange);
}

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
