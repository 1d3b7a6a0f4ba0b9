import type { Failure } from "@pistachioreel/result-code";
import { findNodeAtLocation, type JSONPath, parseTree } from "jsonc-parser";
import { err, ok, type Result } from "neverthrow";
import { fieldFailure } from "./fieldFailure.js";
import type { Target } from "./inventory.js";
import { locateOffset } from "./locateOffset.js";
import { parseJsonFile } from "./parseJsonFile.js";
import { type Rules, rulesSchema } from "./rules.js";

/**
 * Parses the rules file (JSON with comments) and checks that all names that it refers to are defined.
 *
 * @param file Name of the file in error messages.
 * @param targets Targets of the inventory. If absent, references to names of the inventory are not checked.
 * @returns The rules, or all failures with their positions.
 */
export function parseRules(file: string, text: string, targets?: readonly Target[]): Result<Rules, Failure[]> {
    return parseJsonFile(file, text, rulesSchema).andThen(rules => {
        const failures = checkReferences(file, text, rules, targets);
        return failures.length > 0 ? err(failures) : ok(rules);
    });
}

function checkReferences(file: string, text: string, rules: Rules, targets?: readonly Target[]): Failure[] {
    const root = parseTree(text);
    const failures: Failure[] = [];
    const check = (path: JSONPath, value: string, known: readonly string[]) => {
        if (!known.includes(value)) {
            const offset = (root && findNodeAtLocation(root, path)?.offset) ?? 0;
            failures.push(fieldFailure("referenceUnknown", {
                file,
                ...locateOffset(text, offset),
                field: path.join("."),
                found: JSON.stringify(value),
                accepted: known.length > 0 ? `one of ${known.join(", ")}` : "nothing, as none is defined",
            }));
        }
    };
    const services = Object.keys(rules.services);
    const workspaces = Object.keys(rules.workspaces);
    rules.routes.forEach((route, routeIndex) => {
        check(["routes", routeIndex, "service"], route.service, services);
        route.workspaces?.forEach((name, workspaceIndex) =>
            check(["routes", routeIndex, "workspaces", workspaceIndex], name, workspaces)
        );
    });
    if (targets !== undefined) {
        const regions = [...new Set(targets.map(target => target.region))];
        const targetServices = [...new Set(targets.map(target => target.service))];
        Object.keys(rules.regions).forEach(region => check(["regions", region], region, regions));
        services.forEach(service => check(["services", service], service, targetServices));
        const zones = [...new Set(targets.map(target => target.availabilityZone))];
        Object.entries(rules.sites).forEach(([site, { availabilityZones, regions: siteRegions }]) => {
            availabilityZones.forEach((zone, index) => check(["sites", site, "availabilityZones", index], zone, zones));
            siteRegions.forEach((region, index) => check(["sites", site, "regions", index], region, regions));
        });
        rules.links.forEach((link, index) => {
            check(["links", index, "from"], link.from, regions);
            check(["links", index, "to"], link.to, regions);
        });
    }
    return failures;
}
