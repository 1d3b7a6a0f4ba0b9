import { DocumentRepository } from "@pistachioreel/documents";
import { KeyLedger } from "@pistachioreel/keys";
import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { randomBytes, randomUUID } from "node:crypto";
import type { Command, CommandInput, CommandOutput } from "../command.js";
import { openStore } from "../openStore.js";
import { requireFlag } from "../requireFlag.js";

interface LedgerChange {
    readonly ledger: KeyLedger;
    readonly output: CommandOutput;
}

const KEY_ID_BYTES = 6;
const MAX_COMMIT_TRIES = 5;

export const key: Command = {
    name: "key",
    summary: "issue, withdraw and list the keys of workspaces",
    flags: ["workspace", "id", "store"],
    usage: `issue --workspace NAME --store URL
  withdraw --id ID --store URL
  list --store URL

The key is shown once, when it is issued; only its hash is kept.

Example: pistachioreel key issue --workspace tbilisi-bank --store http://10.0.0.1:7000`,
    async run(input) {
        const action = actions.get(input.words[0] ?? "");
        if (action === undefined) {
            return err([new Failure("argumentInvalid", `expected one of ${[...actions.keys()].join(", ")}`)]);
        }
        const store = openStore(input);
        if (store.isErr()) {
            return err([store.error]);
        }
        const output = await changeLedger(new DocumentRepository(store.value), ledger => action(ledger, input));
        await store.value.close();
        return output.mapErr(failure => [failure]);
    },
};

const actions = new Map([["issue", issue], ["withdraw", withdraw], ["list", list]]);

function issue(ledger: KeyLedger, input: CommandInput): Result<LedgerChange, Failure> {
    return requireFlag(input, "workspace").map(workspace => {
        const id = randomBytes(KEY_ID_BYTES).toString("hex");
        const issued = ledger.issue(workspace, { id, now: new Date() });
        const json = { id, workspace, key: issued.key };
        return { ledger: issued.ledger, output: { text: `${issued.key}\nid ${id} for workspace ${workspace}`, json } };
    });
}

function withdraw(ledger: KeyLedger, input: CommandInput): Result<LedgerChange, Failure> {
    return requireFlag(input, "id").andThen(id =>
        ledger.withdraw({ id, now: new Date() }).map(changed => ({
            ledger: changed,
            output: { text: `withdrawn: ${id}`, json: { id, state: "withdrawn" } },
        }))
    );
}

function list(ledger: KeyLedger): Result<LedgerChange, Failure> {
    const keys = ledger.keys.map(({ id, workspace, state, changedAt }) => ({ id, workspace, state, changedAt }));
    const lines = keys.map(({ id, workspace, state, changedAt }) => `${id}  ${state}  ${workspace}  ${changedAt}`);
    return ok({ ledger, output: { text: lines.join("\n"), json: keys } });
}

/** Changes the ledger as it is now; a change by another operator in between makes it read and change again. */
async function changeLedger(
    repository: DocumentRepository,
    change: (ledger: KeyLedger) => Result<LedgerChange, Failure>,
): Promise<Result<CommandOutput, Failure>> {
    for (let tries = 1;; tries++) {
        const document = await repository.read("keys");
        if (document.isErr()) {
            return err(document.error);
        }
        const ledger = document.value === undefined
            ? ok(new KeyLedger())
            : KeyLedger.fromContent(document.value.content);
        const changed = ledger.andThen(change);
        if (changed.isErr()) {
            return err(changed.error);
        }
        if (ledger.isOk() && changed.value.ledger === ledger.value) {
            return ok(changed.value.output);
        }
        const basedOn = document.value?.version ?? 0;
        const content = changed.value.ledger.toContent();
        const committed = await repository.commit("keys", content, { basedOn, changeId: randomUUID() });
        if (committed.isOk()) {
            return ok(changed.value.output);
        }
        if (committed.error.code !== "storeConflict" || tries >= MAX_COMMIT_TRIES) {
            return err(committed.error);
        }
    }
}
