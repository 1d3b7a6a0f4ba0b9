/** Headers between hosts, in lower case. A request with {@link detourHeaders.request} has been passed on by another host. */
export const detourHeaders = {
    /** The token of the receiving host, a space, and the number of targets that the request may still be sent to. */
    request: "pistachioreel-detour",
    /** Name of the result code with which the receiving host has refused the request, a space, and ms until a retry. */
    refusal: "pistachioreel-refusal",
} as const;
