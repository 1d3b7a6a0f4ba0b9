import type { ResponseMatcher, TargetResponse } from "@pistachioreel/forwarding";
import type { Target } from "@pistachioreel/placement";
import type { IncomingMessage } from "node:http";
import type { CallerRequest } from "./callerRequest.js";
import type { ResponseInterpretation } from "./responseInterpretation.js";

interface TargetHeaderOptions {
    readonly rawHeaders: readonly string[];
    readonly deadlineMs: number;
    readonly target: Target;
    /** Workspace of the caller; `undefined` on public routes. */
    readonly workspace: string | undefined;
    readonly key: string | undefined;
}

interface DirectoryQuery {
    readonly region: string | undefined;
    readonly availabilityZone: string | undefined;
}

interface DirectoryResponse {
    /** `address:port` of hosts for callers, in no order. */
    readonly addresses: readonly string[];
    readonly lifetimeMs: number;
}

/** How callers and targets spell what they say: headers, paths and bodies. */
export interface Dialect extends ResponseMatcher {
    readRequest(request: IncomingMessage): CallerRequest;
    /** Headers of a request for a target, as alternating names and values. */
    targetHeaders(opts: TargetHeaderOptions): string[];
    interpretResponse(answer: TargetResponse): ResponseInterpretation;
    /** Headers of a target's answer for the caller. */
    callerHeaders(answer: TargetResponse): string[];
    /** Headers of a refusal: when to come back, in ms, if that is known. */
    refusalHeaders(retryAfterMs: number | undefined): string[];
    /** `undefined` if the request is not one for the directory. */
    readDirectoryQuery(request: IncomingMessage): DirectoryQuery | undefined;
    directoryResponse(answer: DirectoryResponse): string;
    isReadinessCheck(request: IncomingMessage): boolean;
}
