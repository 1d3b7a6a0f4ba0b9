import type { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { askHosts } from "../askHosts.js";
import type { Command, CommandOutput } from "../command.js";
import type { HostReport } from "../hostReport.js";
import { type HostStatus, hostStatusSchema } from "../hostStatus.js";
import { renderTable } from "../renderTable.js";
import { withStore } from "../withStore.js";

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
            const reports = await askHosts(hosts.value, "/v1/status", hostStatusSchema);
            const json = reports.map(({ host, answer }) => ({ host: host.id, listed: host.state, answer }));
            return ok({ text: renderReports(reports), json });
        });
    },
};

function renderReports(reports: readonly HostReport<HostStatus>[]): string {
    const header = ["HOST", "ZONE", "LISTED", "STATE", "CONFIG", "KEYS", "PLAN", "STORE CALLS"];
    const rows = reports.map(({ host, answer }) => {
        const place = [host.id, host.availabilityZone, host.state];
        if (answer === undefined) {
            return [...place, "unreachable"];
        }
        const { config, keys, plan } = answer.documents;
        const { read, write, watch } = answer.storeCalls;
        const state = answer.ready ? "ready" : "not ready";
        return [...place, state, config, keys, plan, `${read + write + watch}`].map(String);
    });
    return renderTable([header, ...rows]);
}
