import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { callerLimitsSchema } from "./callerLimits.js";
import { type Route, routeSchema } from "./route.js";
import { type Service, serviceSchema } from "./service.js";
import { type Workspace, workspaceSchema } from "./workspace.js";

const contentSchema = z.object({
    version: z.number().int().nonnegative(),
    routes: z.array(routeSchema),
    services: z.array(serviceSchema),
    /** Absent if no route requires a key. */
    workspaces: z.array(workspaceSchema).optional(),
    limits: callerLimitsSchema,
});

type Content = z.infer<typeof contentSchema>;

/** One immutable version of the desired state: routes, services, workspaces and limits as set by the operator. */
export class DesiredState {
    private readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
    private readonly servicesByName: ReadonlyMap<string, Service>;
    private readonly workspacesByKey: ReadonlyMap<string, Workspace>;

    private constructor(readonly content: Content) {
        this.routesByHost = groupByHost(content.routes);
        this.servicesByName = new Map(content.services.map(service => [service.name, service]));
        this.workspacesByKey = new Map(
            (content.workspaces ?? []).flatMap(workspace => workspace.keys.map(key => [key, workspace] as const)),
        );
    }

    /** Validates the content against the schema and for consistency. Failure: `documentDamaged`. */
    static fromContent(content: unknown): Result<DesiredState, Failure> {
        const parsed = contentSchema.safeParse(content);
        if (!parsed.success) {
            const cause = parsed.error;
            return err(new Failure("documentDamaged", "the desired state does not match its schema", { cause }));
        }
        const inconsistency = findInconsistency(parsed.data);
        return inconsistency === undefined
            ? ok(new DesiredState(parsed.data))
            : err(new Failure("documentDamaged", `the desired state is inconsistent: ${inconsistency}`));
    }

    get version(): number {
        return this.content.version;
    }

    get limits(): Content["limits"] {
        return this.content.limits;
    }

    /** All workspaces; empty if no route requires a key. */
    get workspaces(): readonly Workspace[] {
        return this.content.workspaces ?? [];
    }

    /** Whether routes that are not public require a key. */
    get needsKeys(): boolean {
        return this.content.workspaces !== undefined;
    }

    /** The route of the host name with the longest prefix that matches the path. */
    findRoute(host: string, path: string): Route | undefined {
        return this.routesByHost.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    }

    /** The workspace to which an API key belongs. */
    findWorkspace(key: string): Workspace | undefined {
        return this.workspacesByKey.get(key);
    }

    findService(name: string): Service | undefined {
        return this.servicesByName.get(name);
    }
}

/** Routes by host name, those with the longest prefix first. */
function groupByHost(routes: readonly Route[]): Map<string, Route[]> {
    const groups = new Map<string, Route[]>();
    for (const route of [...routes].sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)) {
        const group = groups.get(route.host) ?? [];
        group.push(route);
        groups.set(route.host, group);
    }
    return groups;
}

/** Describes the first inconsistency between parts of the content; `undefined` if there is none. */
function findInconsistency({ routes, services, workspaces }: Content): string | undefined {
    const serviceNames = new Set(services.map(({ name }) => name));
    for (const { name, parts } of routes) {
        if (parts.some(({ service }) => !serviceNames.has(service))) {
            return `route ${name} refers to an undefined service`;
        }
        if (parts.every(({ weight }) => weight === 0)) {
            return `all parts of route ${name} have weight 0`;
        }
    }
    const keys = (workspaces ?? []).flatMap(workspace => [...new Set(workspace.keys)]);
    return keys.length > new Set(keys).size ? "two workspaces share a key" : undefined;
}
