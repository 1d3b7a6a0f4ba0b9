import { diffConfigurations } from "@pistachioreel/config";
import { err } from "neverthrow";
import type { Command } from "../command.js";
import { loadConfiguration } from "../loadConfiguration.js";
import { readStoredConfiguration } from "../readStoredConfiguration.js";
import { renderChanges } from "../renderChanges.js";
import { withStore } from "../withStore.js";

/** Shows how the given configuration differs from the stored one; changes nothing. */
export const diff: Command = {
    name: "diff",
    summary: "show what apply would change",
    flags: ["inventory", "rules", "store"],
    usage: `--inventory FILE --rules FILE --store URL

Example: pistachioreel diff --inventory inventory.csv --rules rules.jsonc --store http://10.0.0.1:7000`,
    async run(input) {
        const configuration = await loadConfiguration(input);
        if (configuration.isErr()) {
            return err(configuration.error);
        }
        return withStore(input, async store => {
            const stored = await readStoredConfiguration(store);
            return stored.map(({ version, configuration: before }) => {
                const changes = diffConfigurations(before, configuration.value);
                const text = changes.length === 0 ? `no change to version ${version}` : renderChanges(changes);
                return { text, json: { version, changes } };
            });
        });
    },
};
