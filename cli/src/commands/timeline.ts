import { Failure } from "@pistachioreel/result-code";
import {
    filterEvents,
    mergeTimelines,
    renderEvent,
    renderHtml,
    timelineEventSchema,
    type TimelineFilter,
} from "@pistachioreel/timeline";
import { err, ok, type Result } from "neverthrow";
import { writeFile } from "node:fs/promises";
import { z } from "zod";
import type { Command, CommandInput, CommandOutput } from "../command.js";
import { queryHosts } from "../queryHosts.js";
import { withStore } from "../withStore.js";

const eventsSchema = z.array(timelineEventSchema);

/** Merges the timelines of all listed hosts and shows the events that match the filter. */
export const timeline: Command = {
    name: "timeline",
    summary: "merge the events of all hosts",
    flags: ["store", "host", "workspace", "request", "config-version", "from", "to", "html"],
    usage: `--store URL [--host ID] [--workspace NAME] [--request ID] [--config-version N]
    [--from TIME] [--to TIME] [--html FILE]

Times are ISO 8601. --html writes one self-contained page.

Example: why was this dealer refused at 10:42?
  pistachioreel timeline --store http://10.0.0.1:7000 --workspace dealers-north \\
    --from 2026-12-04T10:41:00Z --to 2026-12-04T10:43:00Z`,
    async run(input) {
        const filter = parseFilter(input);
        if (filter.isErr()) {
            return err([filter.error]);
        }
        return withStore(input, async store => {
            const hosts = await store.hosts();
            if (hosts.isErr()) {
                return err(hosts.error);
            }
            const replies = await queryHosts(hosts.value, "/v1/timeline", eventsSchema);
            const merged = mergeTimelines(replies.map(({ body }) => body ?? []));
            const selected = { ...merged, events: filterEvents(merged.events, filter.value) };
            const missing = replies.filter(({ body }) => body === undefined).map(({ host }) => host.id);
            return writeOutput(selected, missing, input);
        });
    },
};

function parseFilter({ flags }: CommandInput): Result<TimelineFilter, Failure> {
    const configVersion = flags["config-version"] === undefined ? undefined : Number(flags["config-version"]);
    const [from, to] = [flags["from"], flags["to"]].map(time => time === undefined ? undefined : Date.parse(time));
    if ([configVersion, from, to].some(value => Number.isNaN(value))) {
        return err(
            new Failure("argumentInvalid", "--config-version takes a number, --from and --to take ISO 8601 times"),
        );
    }
    const { host, workspace, request } = flags;
    return ok({ host, workspace, request, configVersion, from, to });
}

async function writeOutput(
    merged: ReturnType<typeof mergeTimelines>,
    missing: readonly string[],
    { flags }: CommandInput,
): Promise<Result<CommandOutput, Failure>> {
    const { events, skewMs } = merged;
    const json = { events, skewMs: Object.fromEntries(skewMs), missing };
    const warnings = missing.length > 0 ? [`no reply from ${missing.join(", ")}`] : [];
    if (flags["html"] === undefined) {
        const skewLines = [...skewMs].map(([host, ms]) => `clock skew of ${host}: ${Math.round(ms)} ms`);
        return ok({ text: [...events.map(renderEvent), ...skewLines, ...warnings].join("\n"), json });
    }
    try {
        await writeFile(flags["html"], renderHtml(merged));
        return ok({ text: [`${events.length} events written to ${flags["html"]}`, ...warnings].join("\n"), json });
    }
    catch (cause) {
        return err(new Failure("fileUnreadable", `${flags["html"]}: cannot be written`, { cause }));
    }
}
