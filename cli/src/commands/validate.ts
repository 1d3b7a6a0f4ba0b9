import type { Command } from "../command.js";
import { loadConfiguration } from "../loadConfiguration.js";

/** Validates configuration files without access to the store. */
export const validate: Command = {
    name: "validate",
    summary: "check an inventory and rules without changing anything",
    flags: ["inventory", "rules"],
    usage: `--inventory FILE --rules FILE

Example: pistachioreel validate --inventory inventory.csv --rules rules.jsonc`,
    async run(input) {
        const configuration = await loadConfiguration(input);
        return configuration.map(({ targets, rules }) => {
            const counts = {
                targets: targets.length,
                services: Object.keys(rules.services).length,
                routes: rules.routes.length,
                workspaces: Object.keys(rules.workspaces).length,
            };
            const { services, routes, workspaces } = counts;
            const text =
                `valid: ${targets.length} targets, ${services} services, ${routes} routes, ${workspaces} workspaces`;
            return { text, json: { valid: true, ...counts } };
        });
    },
};
