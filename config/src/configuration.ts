import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { type Target, targetSchema } from "./inventory.js";
import { parseInventory } from "./parseInventory.js";
import { parseRules } from "./parseRules.js";
import { type Route, type Rules, rulesSchema } from "./rules.js";

const contentSchema = z.object({ rules: rulesSchema, targets: z.array(targetSchema) });

interface ConfigurationFile {
    readonly name: string;
    readonly text: string;
}

/** Inventory and rules that were validated together. Immutable. */
export class Configuration {
    private readonly targetsByService: ReadonlyMap<string, readonly Target[]>;
    private readonly routesByPathLength: readonly Route[];

    private constructor(readonly rules: Rules, readonly targets: readonly Target[]) {
        this.targetsByService = groupByService(targets);
        this.routesByPathLength = [...rules.routes].sort((a, b) => b.path.length - a.path.length);
    }

    /** Parses and validates both files. Returns the configuration, or the failures of both files. */
    static fromFiles(inventory: ConfigurationFile, rules: ConfigurationFile): Result<Configuration, Failure[]> {
        const targets = parseInventory(inventory.name, inventory.text);
        const checkedRules = parseRules(rules.name, rules.text, targets.isOk() ? targets.value : undefined);
        if (targets.isOk() && checkedRules.isOk()) {
            return ok(new Configuration(checkedRules.value, targets.value));
        }
        return err([...(targets.isErr() ? targets.error : []), ...(checkedRules.isErr() ? checkedRules.error : [])]);
    }

    /** Parses the content of the stored document. Failure: `documentDamaged`. */
    static fromContent(content: string): Result<Configuration, Failure> {
        try {
            const { rules, targets } = contentSchema.parse(JSON.parse(content));
            return ok(new Configuration(rules, targets));
        }
        catch (cause) {
            return err(new Failure("documentDamaged", "the stored configuration does not match its schema", { cause }));
        }
    }

    /** Serializes the configuration for the stored document; equal configurations have equal content. */
    toContent(): string {
        return JSON.stringify({ rules: this.rules, targets: this.targets });
    }

    /** Returns the targets of a service; empty if the service is unknown. */
    targetsOf(service: string): readonly Target[] {
        return this.targetsByService.get(service) ?? [];
    }

    /** Returns the route with the longest matching path among those that accept the method. */
    findRoute(method: string, path: string): Route | undefined {
        return this.routesByPathLength.find(route => matchesPath(route.path, path) && acceptsMethod(route, method));
    }
}

function matchesPath(prefix: string, path: string): boolean {
    return path === prefix || path.startsWith(prefix.endsWith("/") ? prefix : `${prefix}/`);
}

function acceptsMethod(route: Route, method: string): boolean {
    return (route.methods as readonly string[]).includes(method);
}

function groupByService(targets: readonly Target[]): Map<string, Target[]> {
    const groups = new Map<string, Target[]>();
    for (const target of targets) {
        const group = groups.get(target.service) ?? [];
        group.push(target);
        groups.set(target.service, group);
    }
    return groups;
}
