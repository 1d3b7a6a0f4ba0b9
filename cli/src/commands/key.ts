import { DocumentRepository } from "@pistachioreel/documents";
import { KeyRegistry } from "@pistachioreel/keys";
import type { HostList, ObjectStore } from "@pistachioreel/platform-store";
import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { randomBytes } from "node:crypto";
import { changeDocument } from "../changeDocument.js";
import type { Command, CommandInput, CommandOutput } from "../command.js";
import { openStore } from "../openStore.js";
import { requireFlag } from "../requireFlag.js";
import { waitUntilWithdrawn } from "../waitUntilWithdrawn.js";

/** A change that the store has accepted. */
interface CommittedChange {
    readonly output: CommandOutput;
    /** Version of the key registry that holds the change. */
    readonly version: number;
}

/** A change before it is committed. */
interface RegistryChange {
    /** The changed registry, or the same object if nothing changes. */
    readonly registry: KeyRegistry;
    readonly output: CommandOutput;
}

const KEY_ID_BYTES = 6;

/** Issues, withdraws and lists the API keys of workspaces. */
export const key: Command = {
    name: "key",
    summary: "issue, withdraw and list the keys of workspaces",
    flags: ["workspace", "id", "store"],
    usage: `issue --workspace NAME --store URL
  withdraw --id ID --store URL
  list --store URL

The key is shown once, when it is issued; only its hash is kept. A withdrawal is
in force when the command ends with 0. If it ends with code 2008, hosts that did
not confirm it may accept the key until they have it; run it again to check.

Example: pistachioreel key issue --workspace tbilisi-bank --store http://10.0.0.1:7000`,
    async run(input) {
        const action = actions.get(input.positionals[0] ?? "");
        if (action === undefined) {
            return err([new Failure("argumentInvalid", `expected one of ${[...actions.keys()].join(", ")}`)]);
        }
        const store = openStore(input);
        if (store.isErr()) {
            return err([store.error]);
        }
        const repository = new DocumentRepository(store.value);
        const committed = await changeRegistry(store.value, registry => action(registry, input));
        const output = committed.isOk() && action === withdraw
            ? await confirmWithdrawal(store.value, repository, committed.value)
            : committed.map(change => change.output);
        await store.value.close();
        return output.mapErr(failure => [failure]);
    },
};

/** Waits until no host accepts the withdrawn key any more; only then is the withdrawal reported as done. */
async function confirmWithdrawal(
    hostList: HostList,
    repository: DocumentRepository,
    { output, version }: CommittedChange,
): Promise<Result<CommandOutput, Failure>> {
    const withdrawn = await waitUntilWithdrawn({ hostList, repository, version });
    return withdrawn.map(text => ({ text: `${output.text}\n${text}`, json: output.json }));
}

const actions = new Map([["issue", issue], ["withdraw", withdraw], ["list", list]]);

function issue(registry: KeyRegistry, input: CommandInput): Result<RegistryChange, Failure> {
    return requireFlag(input, "workspace").map(workspace => {
        const id = randomBytes(KEY_ID_BYTES).toString("hex");
        const issued = registry.issue(workspace, { id, now: new Date() });
        const json = { id, workspace, key: issued.key };
        return {
            registry: issued.registry,
            output: { text: `${issued.key}\nid ${id} for workspace ${workspace}`, json },
        };
    });
}

function withdraw(registry: KeyRegistry, input: CommandInput): Result<RegistryChange, Failure> {
    return requireFlag(input, "id").andThen(id =>
        registry.withdraw({ id, now: new Date() }).map(changed => ({
            registry: changed,
            output: { text: `withdrawn: ${id}`, json: { id, state: "withdrawn" } },
        }))
    );
}

function list(registry: KeyRegistry): Result<RegistryChange, Failure> {
    const keys = registry.keys.map(({ id, workspace, state, changedAt }) => ({ id, workspace, state, changedAt }));
    const lines = keys.map(({ id, workspace, state, changedAt }) => `${id}  ${state}  ${workspace}  ${changedAt}`);
    return ok({ registry, output: { text: lines.join("\n"), json: keys } });
}

/** Commits a change to the stored registry. If another operator commits first, the change is applied to that result. */
async function changeRegistry(
    store: HostList & ObjectStore,
    change: (registry: KeyRegistry) => Result<RegistryChange, Failure>,
): Promise<Result<CommittedChange, Failure>> {
    const changed = await changeDocument(store, "keys", content => {
        const registry = content === undefined ? ok(new KeyRegistry()) : KeyRegistry.fromContent(content);
        return registry.andThen(before =>
            change(before).map(({ registry: after, output }) => ({
                ...(after === before ? {} : { content: after.toContent() }),
                value: output,
            }))
        );
    });
    return changed.map(({ value: output, version }) => ({ output, version }));
}
