import { Failure } from "@pistachioreel/result-code";
import { err, ok, Result } from "neverthrow";
import { request } from "undici";
import { z } from "zod";
import type { Command } from "../command.js";
import { renderTable } from "../renderTable.js";
import { requireFlag } from "../requireFlag.js";

const RESPONSE_TIMEOUT_MS = 2_000;
const targetSchema = z.looseObject({
    id: z.string(),
    availabilityZone: z.string(),
    unusable: z.string().optional(),
    preference: z.number().optional(),
    isWarm: z.boolean(),
    slots: z.number(),
    capacity: z.number(),
    load: z.number(),
    pace: z.number(),
    paceAgeMs: z.number().nullable(),
    errorRate: z.number(),
    expectedMs: z.number(),
});
const serviceSchema = z.looseObject({
    service: z.string(),
    weight: z.number(),
    waiting: z.array(z.object({ rank: z.string(), requests: z.number() })),
    choice: z.union([
        z.looseObject({ target: z.string(), isWarm: z.boolean(), expectedMs: z.number() }),
        z.looseObject({ refusal: z.string(), retryAfterMs: z.number() }),
    ]),
    targets: z.array(targetSchema),
});
/** Schema of what is read from the response of `/explain`; further fields are kept. */
const explanationSchema = z.looseObject({
    host: z.string(),
    version: z.number(),
    isCutOff: z.boolean(),
    route: z.looseObject({ name: z.string(), priority: z.number() }),
    workspace: z.looseObject({ name: z.string(), priority: z.number().optional(), limitWaitMs: z.number() }).optional(),
    services: z.array(serviceSchema),
});
const failureSchema = z.object({ code: z.number(), reason: z.string(), message: z.string() });

type Explanation = z.infer<typeof explanationSchema>;
type ExplainedService = z.infer<typeof serviceSchema>;

/** Asks a gateway host what would become of a request now. */
export const explain: Command = {
    name: "explain",
    summary: "say where a gateway host would send a request now, and why, without sending it",
    flags: ["gateway", "host", "path", "workspace", "object"],
    usage: `--gateway ADDRESS:PORT --host NAME --path PATH [--workspace NAME] [--object ID]

ADDRESS:PORT is the metrics listener of the gateway host.

Example: pistachioreel explain --gateway 10.0.0.11:9100 --host sheets.example --path /read/7 --workspace bank --object 17`,
    async run(input) {
        const required = Result.combineWithAllErrors([
            requireFlag(input, "gateway"),
            requireFlag(input, "host"),
            requireFlag(input, "path"),
        ]);
        if (required.isErr()) {
            return err(required.error);
        }
        const [address, host, path] = required.value as [string, string, string];
        const { workspace, object } = input.flags;
        const given = Object.entries({ host, path, workspace, object }).filter(([, value]) => value !== undefined);
        const query = new URLSearchParams(given as [string, string][]);
        try {
            const signal = AbortSignal.timeout(RESPONSE_TIMEOUT_MS);
            const { statusCode, body } = await request(`http://${address}/explain?${query.toString()}`, { signal });
            const json: unknown = await body.json();
            if (statusCode !== 200) {
                const refusal = failureSchema.parse(json);
                return ok({ text: `refused: ${refusal.code} ${refusal.reason}: ${refusal.message}`, json: refusal });
            }
            const explanation = explanationSchema.parse(json);
            return ok({ text: renderExplanation(explanation), json: explanation });
        }
        catch (cause) {
            return err([new Failure("peerUnreachable", `${address} did not explain the request`, { cause })]);
        }
    },
};

function renderExplanation({ host, version, isCutOff, route, workspace, services }: Explanation): string {
    const wait = workspace === undefined || workspace.limitWaitMs === 0
        ? "within its limit"
        : `over its limit for ${Math.ceil(workspace.limitWaitMs)} ms`;
    return [
        `host ${host}, desired state ${version}${isCutOff ? ", reaches no target: another host would serve it" : ""}`,
        `route ${route.name}, priority ${route.priority}`,
        workspace === undefined
            ? "no workspace"
            : `workspace ${workspace.name}, priority ${workspace.priority ?? "none"}, ${wait}`,
        ...services.flatMap(renderService),
    ].join("\n");
}

function renderService({ service, weight, waiting, choice, targets }: ExplainedService): string[] {
    const queue = waiting.map(({ rank, requests }) => `${requests} of rank ${rank}`).join(", ");
    const chosen = "target" in choice
        ? `target ${choice.target as string}, ${choice.isWarm === true ? "warm" : "not warm"}`
        : `none: ${choice.refusal as string}`;
    const header = [
        "TARGET",
        "ZONE",
        "USABLE",
        "PREFERENCE",
        "WARM",
        "LOAD",
        "CAPACITY",
        "PACE",
        "AGE",
        "ERRORS",
        "EXPECTED",
    ];
    const rows = targets.map(target => [
        target.id,
        target.availabilityZone,
        target.unusable ?? "yes",
        String(target.preference ?? "-"),
        target.isWarm ? "yes" : "no",
        target.load.toFixed(1),
        `${target.capacity}/${target.slots}`,
        target.pace.toFixed(2),
        target.paceAgeMs === null ? "-" : `${Math.round(target.paceAgeMs)} ms`,
        target.errorRate.toFixed(2),
        `${Math.round(target.expectedMs)} ms`,
    ]);
    return [
        "",
        `service ${service}, weight ${weight}: ${chosen}; waiting: ${queue === "" ? "none" : queue}`,
        renderTable([header, ...rows]),
    ];
}
