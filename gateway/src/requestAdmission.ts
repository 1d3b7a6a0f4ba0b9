import type { DesiredState } from "@pistachioreel/desired-state";
import { isHeaderText } from "@pistachioreel/forwarding";
import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import type { AdmittedRequest } from "./admittedRequest.js";
import type { CallerExchange } from "./callerExchange.js";
import type { HeadRefusal } from "./headRefusal.js";
import { statedBodyBytes } from "./statedBodyBytes.js";
import type { WorkspaceLimits } from "./workspaceLimits.js";

interface RequestAdmissionOptions {
    /** The desired state in force; `undefined` while the host cannot serve requests. */
    readonly desiredState: () => DesiredState | undefined;
    readonly limits: Pick<WorkspaceLimits, "admit">;
    /** Monotonic time in ms at which this host ends; infinite unless it is shutting down. */
    readonly endsAt: () => number;
}

type ExchangeHead = Pick<CallerExchange, "caller" | "arrivedAt" | "detour">;

/** A starting host usually has its first desired state within this time. */
const NOT_READY_RETRY_MS = 300;

/**
 * Decides from the head of a request alone whether it is served, before any of its body is read: a request that is refused costs
 * neither memory nor the time of reading its body.
 */
export class RequestAdmission {
    constructor(private readonly opts: RequestAdmissionOptions) {}

    /**
     * Admits a request, and counts it against the limit of its workspace.
     *
     * Failures: `headerTooLarge`, `notReady`, `requestMalformed`, `routeUnknown`, `keyMissing`, `keyRejected`,
     * `workspaceNameInvalid`, `bodyTooLarge`, `hostLeaving` and `rateExceeded`.
     */
    admit(request: IncomingMessage, exchange: ExchangeHead): Result<AdmittedRequest, HeadRefusal> {
        const state = this.opts.desiredState();
        if (state === undefined) {
            return err({ failure: new Failure("notReady"), retryAfterMs: NOT_READY_RETRY_MS });
        }
        if (headerSizeBytes(request) > state.limits.headerBytes) {
            return err({ failure: new Failure("headerTooLarge") });
        }
        return this.identify(state, exchange)
            .andThen(admitted => this.checkLimits(request, exchange, admitted));
    }

    /** Finds the route and workspace of a request. */
    private identify(state: DesiredState, { caller, arrivedAt }: ExchangeHead): Result<AdmittedRequest, HeadRefusal> {
        const { id, key } = caller;
        if (id === undefined) {
            return err({ failure: new Failure("requestMalformed", "request id missing") });
        }
        const route = state.findRoute(caller.host, caller.path);
        if (route === undefined) {
            return err({ failure: new Failure("routeUnknown") });
        }
        const workspace = key === undefined ? undefined : state.findWorkspace(key);
        if (state.needsKeys && !route.isPublic && workspace === undefined) {
            return err({ failure: new Failure(key === undefined ? "keyMissing" : "keyRejected") });
        }
        if (workspace !== undefined && !isHeaderText(workspace.name)) {
            return err({ failure: new Failure("workspaceNameInvalid"), route, workspace });
        }
        const deadlineAt = arrivedAt + Math.min(caller.deadlineMs ?? Infinity, route.timeoutMs);
        return ok({ id, route, workspace, deadlineAt, maxBodyBytes: state.limits.bodyBytes });
    }

    private checkLimits(
        request: IncomingMessage,
        { detour }: ExchangeHead,
        admitted: AdmittedRequest,
    ): Result<AdmittedRequest, HeadRefusal> {
        const { route, workspace, deadlineAt, maxBodyBytes } = admitted;
        const refuse = (failure: Failure, retryAfterMs?: number) =>
            err({ failure, retryAfterMs, route, workspace, deadlineAt });
        if ((statedBodyBytes(request) ?? 0) > maxBodyBytes) {
            return refuse(new Failure("bodyTooLarge"));
        }
        if (deadlineAt > this.opts.endsAt()) {
            return refuse(new Failure("hostLeaving"), 0);
        }
        // The host that passed a detoured request on has counted it.
        const isLimited = workspace !== undefined && detour === undefined;
        const retryAfterMs = isLimited ? this.opts.limits.admit(workspace) : undefined;
        return retryAfterMs === undefined ? ok(admitted) : refuse(new Failure("rateExceeded"), retryAfterMs);
    }
}

/** Size of a request's headers in bytes, without the request line. */
function headerSizeBytes({ rawHeaders }: IncomingMessage): number {
    // Two bytes follow each name (colon and space) and each value (CR and LF).
    return rawHeaders.reduce((sum, part) => sum + part.length + 2, 0);
}
