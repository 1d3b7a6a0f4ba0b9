import type { HttpObjectStore } from "@pistachioreel/platform-store";
import { Failure } from "@pistachioreel/result-code";
import { type Plan, planSchema } from "@pistachioreel/steering";
import { err, ok, type Result } from "neverthrow";
import { changeDocument } from "../changeDocument.js";
import type { Command, CommandInput, CommandOutput } from "../command.js";
import { waitUntilInForce } from "../waitUntilInForce.js";
import { withStore } from "../withStore.js";

type Drain = Plan["drains"][number];
type Scope = Drain["scope"];

const scopes: readonly Scope[] = ["host", "target", "zone", "region"];
const MS_PER_SECOND = 1_000;

/** Starts, ends and lists drains, which are entries of the stored plan. */
export const drain: Command = {
    name: "drain",
    summary: "move work away from a host, target, availability zone or region, and back",
    flags: ["store", "finish-in", "wait"],
    usage: `start host|target|zone|region NAME --store URL [--finish-in SECONDS] [--wait SECONDS]
  return host|target|zone|region NAME --store URL [--wait SECONDS]
  list --store URL

Work moves under the shift cap of the rules, both ways; the cap goes before
--finish-in. status shows progress and time left.

Example: pistachioreel drain start region kutaisi --finish-in 600 --store http://10.0.0.1:7000`,
    async run(input) {
        const change = parseChange(input);
        return change.isErr() ? err([change.error]) : withStore(input, store => changePlan(store, change.value, input));
    },
};

/** Returns the changed plan, or the same object if nothing changes. */
type PlanChange = (plan: Plan) => Plan;

function parseChange({ positionals, flags }: CommandInput): Result<PlanChange, Failure> {
    const [action, scope, name] = positionals;
    if (action === "list") {
        return ok(plan => plan);
    }
    if (!isScope(scope) || name === undefined || (action !== "start" && action !== "return")) {
        return err(new Failure("argumentInvalid", `expected: start|return ${scopes.join("|")} NAME, or list`));
    }
    const otherDrains = ({ drains }: Plan) => drains.filter(drain => drain.scope !== scope || drain.name !== name);
    if (action === "return") {
        return ok(plan => ({ drains: otherDrains(plan) }));
    }
    const startedAt = Date.now();
    const finishIn = flags["finish-in"];
    if (finishIn !== undefined && !(Number(finishIn) > 0)) {
        return err(new Failure("argumentInvalid", "--finish-in takes a number of seconds"));
    }
    const finish = finishIn === undefined ? {} : { finishBy: startedAt + Number(finishIn) * MS_PER_SECOND };
    return ok(plan => ({ drains: [...otherDrains(plan), { scope, name, startedAt, ...finish }] }));
}

function isScope(word: string | undefined): word is Scope {
    return scopes.some(scope => scope === word);
}

async function changePlan(
    store: HttpObjectStore,
    change: PlanChange,
    { positionals, flags }: CommandInput,
): Promise<Result<CommandOutput, Failure>> {
    const changed = await changeDocument(
        store,
        "plan",
        content =>
            parsePlan(content).map(before => {
                const value = change(before);
                return { ...(value === before ? {} : { content: JSON.stringify(value) }), value };
            }),
    );
    if (changed.isErr()) {
        return err(changed.error);
    }
    const { value: plan, version } = changed.value;
    if (positionals[0] === "list") {
        return ok({ text: renderPlan(plan), json: plan });
    }
    const timeout = flags["wait"] === undefined ? {} : { timeoutMs: Number(flags["wait"]) * MS_PER_SECOND };
    const hosts = await waitUntilInForce(store, "plan", version, timeout);
    const text = `${renderPlan(plan)}\nin force on ${hosts.inForce.length} hosts`;
    return ok({ text, json: { ...plan, version, ...hosts } });
}

function parsePlan(content: string | undefined): Result<Plan, Failure> {
    try {
        return ok(planSchema.parse(content === undefined ? { drains: [] } : JSON.parse(content)));
    }
    catch (cause) {
        return err(new Failure("documentDamaged", "the stored plan is not valid", { cause }));
    }
}

function renderPlan({ drains }: Plan): string {
    if (drains.length === 0) {
        return "no drains";
    }
    const renderDrain = ({ scope, name, startedAt, finishBy }: Drain) => {
        const finish = finishBy === undefined ? "" : `, finish by ${new Date(finishBy).toISOString()}`;
        return `drain ${scope} ${name}, started ${new Date(startedAt).toISOString()}${finish}`;
    };
    return drains.map(renderDrain).join("\n");
}
