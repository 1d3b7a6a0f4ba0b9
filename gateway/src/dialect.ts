import type { ResponseMatcher, TargetRequest, TargetResponse } from "@pistachioreel/forwarding";
import type { Target } from "@pistachioreel/placement";
import type { IncomingMessage } from "node:http";
import type { CallerRequest } from "./callerRequest.js";
import type { ResponseInterpretation } from "./responseInterpretation.js";

interface TargetHeaderOptions {
    readonly rawHeaders: readonly string[];
    /** Time left until the request's deadline, in ms. */
    readonly deadlineMs: number;
    readonly target: Target;
    /** Name of the caller's workspace; `undefined` if no key identifies it, which public routes allow. */
    readonly workspace: string | undefined;
}

/** Location of the caller that looks up hosts. */
interface DirectoryQuery {
    readonly region: string | undefined;
    readonly availabilityZone: string | undefined;
}

interface DirectoryResponse {
    /** `address:port` of the hosts' listeners for callers, in random order. */
    readonly addresses: readonly string[];
    /** Time for which the caller may cache the response, in ms. */
    readonly lifetimeMs: number;
}

/** HTTP dialect of a platform: the headers, paths and bodies that its callers and targets use. */
export interface Dialect extends ResponseMatcher {
    /** Parses the metadata of a caller's request. Never fails; what is missing or invalid is `undefined`. */
    readRequest(request: IncomingMessage): CallerRequest;
    /**
     * Headers of a request to a target, as alternating names and values with one character for each byte. None holds the API key of
     * the caller.
     */
    targetHeaders(opts: TargetHeaderOptions): string[];
    /** A request that every target responds to and none runs, to find out whether it can be reached. */
    pingRequest(): TargetRequest;
    /** Headers of a request that another host sends to a target: those of the caller, with the time that is left. */
    detourHeaders(opts: Pick<TargetHeaderOptions, "rawHeaders" | "deadlineMs">): string[];
    /** Interprets status and headers of a target's response. */
    interpretResponse(response: TargetResponse): ResponseInterpretation;
    /** Headers to send to the caller with a target's response, as alternating names and values. */
    callerHeaders(response: TargetResponse): string[];
    /**
     * Additional headers of a refusal, as alternating names and values.
     *
     * @param retryAfterMs Time after which the caller may retry, in ms, if it is known.
     */
    refusalHeaders(retryAfterMs: number | undefined): string[];
    /** Parses a lookup of hosts; `undefined` if the request is not one. */
    readDirectoryQuery(request: IncomingMessage): DirectoryQuery | undefined;
    /** Formats the body of a response to a lookup. */
    directoryResponse(response: DirectoryResponse): string;
    /** Whether the request is the platform's readiness check. */
    isReadinessCheck(request: IncomingMessage): boolean;
}
