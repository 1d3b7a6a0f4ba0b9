/**
 * Why bytes are not a response that can be used.
 *
 * - `line`: a line does not end with CR and LF, or exceeds its limit.
 * - `statusLine`, `headerField`, `length`, `transferEncoding`, `chunkSize`, `chunkEnd`: this part is malformed.
 * - `headSize`, `fieldCount`, `bodySize`, `memory`, `overhead`, `headCount`: a limit is exceeded.
 * - `unattributed`: the response belongs to no known request.
 * - `otherResponse`: the response was cut short, and bytes of another one are in the place of its own.
 * - `protocolSwitch`: the target changes the protocol without having been asked to.
 * - `truncated`: the connection ended before the end of the response.
 */
export type ResponseFault =
    | "line"
    | "statusLine"
    | "headerField"
    | "length"
    | "transferEncoding"
    | "chunkSize"
    | "chunkEnd"
    | "headSize"
    | "fieldCount"
    | "bodySize"
    | "memory"
    | "overhead"
    | "headCount"
    | "unattributed"
    | "otherResponse"
    | "protocolSwitch"
    | "truncated";
