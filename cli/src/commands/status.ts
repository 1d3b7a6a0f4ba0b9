import { DocumentRepository } from "@pistachioreel/documents";
import type { ObjectStore } from "@pistachioreel/platform-store";
import type { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import type { Command, CommandOutput } from "../command.js";
import type { HostReply } from "../hostReply.js";
import { type HostStatus, hostStatusSchema } from "../hostStatus.js";
import { queryHosts } from "../queryHosts.js";
import { renderTable } from "../renderTable.js";
import { withStore } from "../withStore.js";

/** Shows what each listed host reports of itself; hosts that do not reply are shown as unreachable. */
export const status: Command = {
    name: "status",
    summary: "show the state of all hosts",
    flags: ["store"],
    usage: `--store URL

Example: pistachioreel status --store http://10.0.0.1:7000`,
    async run(input) {
        return withStore(input, async (store): Promise<Result<CommandOutput, Failure>> => {
            const hosts = await store.hosts();
            if (hosts.isErr()) {
                return err(hosts.error);
            }
            const replies = await queryHosts(hosts.value, "/v1/status", hostStatusSchema);
            const lost = await findLostVersions(store, replies);
            const json = replies.map(({ host, body }) => ({ host: host.id, listed: host.state, answer: body }));
            return ok({ text: [renderReplies(replies), ...lost].join("\n"), json });
        });
    },
};

/** One line for each document of which hosts have a later version in force than the store, which came back from a copy then. */
async function findLostVersions(
    store: ObjectStore,
    replies: readonly HostReply<HostStatus>[],
): Promise<string[]> {
    const repository = new DocumentRepository(store);
    const lines: string[] = [];
    for (const name of ["config", "keys", "plan"] as const) {
        const pointer = await repository.readPointer(name);
        if (pointer.isErr()) {
            return [...lines, `the store's version of ${name} cannot be read: ${pointer.error.message}`];
        }
        const stored = pointer.value?.version ?? 0;
        const inForce = Math.max(0, ...replies.map(({ body }) => body?.documents[name] ?? 0));
        if (inForce > stored) {
            lines.push(
                `the store has version ${stored} of ${name}, hosts have ${inForce}: the next change writes it again`,
            );
        }
    }
    return lines;
}

function renderReplies(replies: readonly HostReply<HostStatus>[]): string {
    const header = ["HOST", "ZONE", "LISTED", "STATE", "CONFIG", "KEYS", "PLAN", "STORE CALLS"];
    const rows = replies.map(({ host, body }) => {
        const listedCells = [host.id, host.availabilityZone, host.state];
        if (body === undefined) {
            return [...listedCells, "unreachable"];
        }
        const { config, keys, plan } = body.documents;
        const { read, write, watch } = body.storeCalls;
        const state = body.ready ? "ready" : "not ready";
        return [...listedCells, state, config, keys, plan, `${read + write + watch}`].map(String);
    });
    return renderTable([header, ...rows]);
}
