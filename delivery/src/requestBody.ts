/** Body of a request, read up to a limit before the request goes to a target. */
export interface RequestBody {
    /** The first bytes of the body. */
    readonly head: Buffer;
    /** Whether `head` is the entire body, so that it can be sent again. */
    readonly isComplete: boolean;
}
