import { type Configuration, diffConfigurations } from "@pistachioreel/config";
import { DocumentRepository } from "@pistachioreel/documents";
import type { HttpObjectStore } from "@pistachioreel/platform-store";
import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import type { Command, CommandInput, CommandOutput } from "../command.js";
import { loadConfiguration } from "../loadConfiguration.js";
import { readStoredConfiguration } from "../readStoredConfiguration.js";
import { recoverDocument } from "../recoverDocument.js";
import { renderChanges } from "../renderChanges.js";
import { waitUntilInForce } from "../waitUntilInForce.js";
import { withStore } from "../withStore.js";

const MS_PER_SECOND = 1_000;

/** Commits a configuration and waits until all listed hosts have it in force, or the time to wait is over. */
export const apply: Command = {
    name: "apply",
    summary: "put an inventory and rules in force on all hosts",
    flags: ["inventory", "rules", "store", "based-on", "wait"],
    usage: `--inventory FILE --rules FILE --store URL [--based-on VERSION] [--wait SECONDS]

Says "accepted" when the change is durable, then waits up to 14 s (--wait) and
shows which hosts have it in force and which cannot be reached. Applying the same
files again changes nothing. With --based-on, or if another change is applied
at the same time, the command fails with code 2002, shows the difference to the
configuration in force and changes nothing.

Example: pistachioreel apply --inventory inventory.csv --rules rules.jsonc --store http://10.0.0.1:7000`,
    async run(input) {
        const configuration = await loadConfiguration(input);
        if (configuration.isErr()) {
            return err(configuration.error);
        }
        return withStore(input, store => commitConfiguration(store, configuration.value, input));
    },
};

async function commitConfiguration(
    store: HttpObjectStore,
    configuration: Configuration,
    input: CommandInput,
): Promise<Result<CommandOutput, Failure>> {
    const recovered = await recoverDocument(store, "config");
    const stored = recovered.isErr() ? err(recovered.error) : await readStoredConfiguration(store);
    if (stored.isErr()) {
        return err(stored.error);
    }
    const basedOn = input.flags["based-on"] === undefined ? stored.value.version : Number(input.flags["based-on"]);
    const repository = new DocumentRepository(store);
    const committed = await repository.commit("config", configuration.toContent(), { basedOn, changeId: randomUUID() });
    if (committed.isErr()) {
        return err(await explainConflict(store, configuration, committed.error));
    }
    const version = committed.value;
    const changed = version !== stored.value.version;
    const hosts = await waitUntilInForce(store, "config", version, waitOptions(input));
    const { inForce, behind, unreachable } = hosts;
    const lines = [
        changed ? `accepted: version ${version}` : `unchanged: version ${version}`,
        `in force on ${inForce.length} hosts`,
        ...(behind.length > 0 ? [`not yet in force on ${behind.join(", ")}`] : []),
        ...(unreachable.length > 0 ? [`cannot be reached: ${unreachable.join(", ")}`] : []),
    ];
    return ok({ text: lines.join("\n"), json: { version, changed, ...hosts } });
}

function waitOptions({ flags }: CommandInput): { timeoutMs?: number; } {
    return flags["wait"] === undefined ? {} : { timeoutMs: Number(flags["wait"]) * MS_PER_SECOND };
}

/** Adds to a conflict how the given configuration differs from the stored one; returns other failures as they are. */
async function explainConflict(
    store: HttpObjectStore,
    configuration: Configuration,
    failure: Failure,
): Promise<Failure> {
    if (failure.code !== "storeConflict") {
        return failure;
    }
    const current = await readStoredConfiguration(store);
    if (current.isErr()) {
        return failure;
    }
    const changes = renderChanges(diffConfigurations(current.value.configuration, configuration));
    return new Failure("storeConflict", `${failure.message}; your files differ from it in:\n${changes}`, {
        details: { ...failure.details, changes },
    });
}
