/** Tells whether the refused request may have run on a target; "none" for codes that are not about a request. */
type Outcome = "not run" | "unknown" | "run" | "none";

interface ResultCode {
    /** Stable number, printed as `PR` and four digits. */
    readonly number: number;
    /** HTTP status of responses that carry the code. */
    readonly status: number;
    readonly outcome: Outcome;
    /** What happened, as a phrase; the default message of a failure. */
    readonly meaning: string;
    /** What the reader can do about it. */
    readonly hint: string;
}

function code(number: number, status: number, outcome: Outcome, meaning: string, hint: string): ResultCode {
    return { number, status, outcome, meaning, hint };
}

/** All result codes by name. `docs/errors.md` holds the same table; a test compares the two. */
export const resultCodes = {
    // 1xxx: files and arguments
    fileUnreadable: code(1001, 400, "none", "a file cannot be read", "check the path and its permissions"),
    syntaxInvalid: code(1002, 400, "none", "a file is not valid JSON with comments or CSV", "correct the syntax"),
    fieldInvalid: code(1003, 400, "none", "a field has a value that is not accepted", "use an accepted value"),
    fieldMissing: code(1004, 400, "none", "a required field or column is missing", "add the field"),
    referenceUnknown: code(1005, 400, "none", "a field names something that is not defined", "define it or correct it"),
    duplicateEntry: code(1006, 400, "none", "the same entry appears twice", "remove one of the entries"),
    argumentInvalid: code(1007, 400, "none", "a command-line argument is not accepted", "run the command with --help"),

    // 2xxx: platform store and documents
    storeUnreachable: code(
        2001,
        503,
        "none",
        "the store did not answer",
        "check the store and the network, then retry",
    ),
    storeConflict: code(
        2002,
        409,
        "none",
        "another write changed the object first",
        "read again, then repeat the change",
    ),
    valueTooLarge: code(2003, 413, "none", "a value is larger than the store accepts", "split the value"),
    documentDamaged: code(2004, 500, "none", "a stored document does not match its digest", "apply the document again"),
    storeBudgetSpent: code(2005, 503, "not run", "the write budget of this host is spent", "retry after a second"),
    storeRejected: code(2006, 502, "none", "the store rejected the call", "check the address and version of the store"),
    keyUnknown: code(2007, 404, "none", "no key has this id", "run `pistachioreel key list`"),
    withdrawalPending: code(
        2008,
        202,
        "none",
        "some hosts have not confirmed the change",
        "run `pistachioreel status`",
    ),
    commitUnknown: code(
        2009,
        503,
        "none",
        "it is not known whether the write took effect",
        "run the same command again",
    ),
    storeDenied: code(2010, 403, "none", "the store does not allow the call", "check the store token and its rights"),
    historyGone: code(
        2011,
        410,
        "none",
        "the store no longer knows what changed since a revision",
        "read the objects again",
    ),
    storeBehind: code(
        2012,
        409,
        "none",
        "hosts have a later version in force than the store",
        "make the named host reachable, then run the same command again",
    ),

    // 3xxx: refusals of requests
    keyMissing: code(3001, 401, "not run", "the route needs a key", "send `Authorization: Bearer <key>`"),
    keyRejected: code(3002, 401, "not run", "the key is not valid", "ask the operator for a valid key"),
    keyInQuery: code(
        3003,
        400,
        "not run",
        "keys are not accepted in a query string",
        "send the key in `Authorization`",
    ),
    routeUnknown: code(3004, 404, "not run", "no route matches the request", "check the method and the path"),
    rateExceeded: code(3005, 429, "not run", "the workspace is over its rate and burst", "retry after `Retry-After`"),
    notReady: code(3006, 503, "not run", "the host has no configuration in force", "use another host of the look-up"),
    noTarget: code(3007, 503, "not run", "no target of the service can take the request", "retry later"),
    deadlineInQueue: code(3008, 503, "not run", "the deadline passed before a target was free", "retry later"),
    targetRefused: code(3009, 503, "not run", "the target stated that it did not run the request", "retry later"),
    idempotencyKeyMissing: code(
        3010,
        400,
        "not run",
        "the route needs `Idempotency-Key`",
        "send a unique key per order",
    ),
    evidenceStale: code(
        3011,
        503,
        "not run",
        "the host cannot verify keys while cut off",
        "use a host in another zone",
    ),
    crashSuspect: code(3012, 503, "not run", "the request crashed targets and is refused", "ask the service's owner"),
    requestMalformed: code(3013, 400, "not run", "the request head is not acceptable", "send a valid HTTP/1.1 request"),
    bodyTooLarge: code(3014, 413, "not run", "the body is larger than the route accepts", "send a smaller body"),
    idempotencyKeyReused: code(3015, 422, "not run", "the key belongs to a different request", "use a new key"),
    hostLeaving: code(3016, 503, "not run", "the host is leaving", "use another host of the look-up"),
    workspaceMismatch: code(3017, 403, "not run", "the route is not open to this workspace", "use the right key"),
    queueFull: code(3018, 503, "not run", "the queue of the workspace is full", "retry later"),
    headerTooLarge: code(3019, 431, "not run", "the request head is too large", "send fewer or shorter headers"),
    requestTimeout: code(3020, 408, "not run", "the request did not arrive in time", "send the request faster"),
    claimUnavailable: code(
        3030,
        503,
        "not run",
        "the store did not take the claim of the request",
        "repeat with the same `Idempotency-Key`",
    ),
    clientAddressInvalid: code(
        3031,
        400,
        "not run",
        "the client of a lookup is not an address",
        "send an IPv4 or IPv6 address",
    ),
    memoryFull: code(
        3032,
        503,
        "not run",
        "the bodies that the host holds fill its memory",
        "use another host of the look-up, or retry later",
    ),
    bodyFragmented: code(
        3033,
        400,
        "not run",
        "the body arrives in too many small pieces",
        "send it in pieces of 16 bytes or more",
    ),
    workspaceNameInvalid: code(
        3034,
        503,
        "not run",
        "targets cannot be told the name of the workspace",
        "ask the operator to rename the workspace",
    ),

    // 4xxx: requests that may have run
    outcomeUnknown: code(4001, 502, "unknown", "the request may have run", "repeat with the same `Idempotency-Key`"),
    answerBroken: code(4002, 502, "run", "the target's answer broke off", "repeat if the work is idempotent"),
    deadlineExceeded: code(4003, 504, "unknown", "the deadline passed while the request ran", "repeat if idempotent"),
    answerNotKept: code(4004, 410, "run", "the request ran; its response was too large to keep", "look up the result"),

    // 5xxx: hosts
    peerRejected: code(5001, 403, "none", "the peer did not prove that it belongs", "compare the peer secrets"),
    peerUnreachable: code(5002, 503, "none", "the peer host did not answer", "check the network between hosts"),
    frameInvalid: code(5003, 400, "none", "a frame from a peer is not valid", "compare the versions of both hosts"),
    operatorRejected: code(5004, 401, "none", "the operator token is not valid", "check the operator token"),
} as const satisfies Record<string, ResultCode>;
