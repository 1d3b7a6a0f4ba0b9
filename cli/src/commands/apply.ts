import type { Configuration } from "@pistachioreel/config";
import { DocumentRepository } from "@pistachioreel/documents";
import type { HttpObjectStore } from "@pistachioreel/platform-store";
import type { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import type { Command, CommandOutput } from "../command.js";
import { loadConfiguration } from "../loadConfiguration.js";
import { openStore } from "../openStore.js";

export const apply: Command = {
    name: "apply",
    summary: "put an inventory and rules in force on all hosts",
    usage: `--inventory FILE --rules FILE --store URL

Applying the same files again changes nothing. If another change was applied
at the same time, the command fails with code 2002 and changes nothing.

Example: pistachioreel apply --inventory inventory.csv --rules rules.jsonc --store http://10.0.0.1:7000`,
    async run(input) {
        const configuration = await loadConfiguration(input);
        if (configuration.isErr()) {
            return err(configuration.error);
        }
        const store = openStore(input);
        if (store.isErr()) {
            return err([store.error]);
        }
        const output = await commit(store.value, configuration.value);
        await store.value.close();
        return output.mapErr(failure => [failure]);
    },
};

async function commit(store: HttpObjectStore, configuration: Configuration): Promise<Result<CommandOutput, Failure>> {
    const repository = new DocumentRepository(store);
    const pointer = await repository.readPointer("config");
    if (pointer.isErr()) {
        return err(pointer.error);
    }
    const basedOn = pointer.value?.version ?? 0;
    const committed = await repository.commit("config", configuration.toContent(), { basedOn, changeId: randomUUID() });
    return committed.andThen(version => {
        const text = version === basedOn ? `unchanged: version ${version}` : `accepted: version ${version}`;
        return ok({ text, json: { version, changed: version !== basedOn } });
    });
}
