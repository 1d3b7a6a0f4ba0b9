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
            const json = replies.map(({ host, body }) => ({ host: host.id, listed: host.state, answer: body }));
            return ok({ text: renderReplies(replies), json });
        });
    },
};

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
