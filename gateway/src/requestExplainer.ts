import type { DesiredState, Route, Workspace } from "@pistachioreel/desired-state";
import { isHeaderText } from "@pistachioreel/forwarding";
import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { allowedRegions } from "./allowedRegions.js";
import { newPlacementRequest } from "./newPlacementRequest.js";
import { objectKey } from "./objectKey.js";
import type { PlatformState } from "./platformState.js";
import type { RequestPlacement } from "./requestPlacement.js";
import type { TargetReach } from "./targetReach.js";
import type { WorkspaceLimits } from "./workspaceLimits.js";

interface RequestExplainerOptions {
    readonly hostId: string;
    readonly platformState: Pick<PlatformState, "stateInForce">;
    readonly limits: Pick<WorkspaceLimits, "waitMs">;
    readonly placement: Pick<RequestPlacement, "targets" | "waitingCounts">;
    readonly reach: Pick<TargetReach, "isCutOff">;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** A request that is not sent. */
interface ExplainedRequest {
    /** Name of the host in the request. */
    readonly host: string;
    readonly path: string;
    /** Name of the workspace; `undefined` for a request without a key. */
    readonly workspace: string | undefined;
    /** Id of the object; `undefined` if there is none. */
    readonly object: string | undefined;
}

/** Says what would become of a request now, without an effect: it takes no token and no slot, and sends nothing. */
export class RequestExplainer {
    constructor(private readonly opts: RequestExplainerOptions) {}

    /**
     * Failures, which are what the caller would get: `notReady`, `routeUnknown`, `keyMissing`, `keyRejected` and
     * `workspaceNameInvalid`.
     */
    explain(request: ExplainedRequest): Result<ReturnType<RequestExplainer["explainAdmitted"]>, Failure> {
        const state = this.opts.platformState.stateInForce;
        if (state === undefined) {
            return err(new Failure("notReady"));
        }
        const route = state.findRoute(request.host.toLowerCase(), request.path);
        if (route === undefined) {
            return err(new Failure("routeUnknown"));
        }
        const workspace = state.workspaces.find(({ name }) => name === request.workspace);
        if (state.needsKeys && !route.isPublic && workspace === undefined) {
            return err(new Failure(request.workspace === undefined ? "keyMissing" : "keyRejected"));
        }
        if (workspace !== undefined && !isHeaderText(workspace.name)) {
            return err(new Failure("workspaceNameInvalid"));
        }
        return ok(this.explainAdmitted(state, route, workspace, request.object));
    }

    private explainAdmitted(
        state: DesiredState,
        route: Route,
        workspace: Workspace | undefined,
        object: string | undefined,
    ) {
        const { hostId, limits, reach: { isCutOff } } = this.opts;
        const { name, priority, isIdempotent, timeoutMs, objectiveMs, maxAttempts, parts } = route;
        return {
            host: hostId,
            version: state.version,
            isCutOff,
            route: { name, priority, isIdempotent, timeoutMs, objectiveMs, maxAttempts },
            workspace: workspace === undefined ? undefined : {
                name: workspace.name,
                priority: workspace.priority,
                ratePerSecond: workspace.ratePerSecond,
                limitWaitMs: limits.waitMs(workspace),
            },
            regions: allowedRegions({ route, workspace }),
            services: parts.map(({ service, weight }) => ({
                weight,
                ...this.explainService({ service, route, workspace, object }),
            })),
        };
    }

    private explainService({ service, route, workspace, object }: {
        service: string;
        route: Route;
        workspace: Workspace | undefined;
        object: string | undefined;
    }) {
        const { placement: { targets }, placement, now } = this.opts;
        const request = newPlacementRequest({
            service,
            route,
            workspace,
            object: objectKey({ object }, route),
            bodyBytes: 0,
            objectiveAt: now() + route.objectiveMs,
            deadlineAt: now() + route.timeoutMs,
        });
        const choice = targets.preview(request);
        const ahead = placement.waitingCounts().filter(counts => counts.service === service);
        return {
            service,
            waiting: ahead.map(({ rank, waiting: count }) => ({ rank, requests: count })),
            choice: "target" in choice
                ? { target: choice.target.id, isWarm: choice.isWarm, expectedMs: choice.expectedMs }
                : { refusal: choice.refusal, retryAfterMs: choice.retryAfterMs },
            targets: targets.describe(request),
        };
    }
}
