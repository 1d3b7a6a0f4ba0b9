import { resultCodes } from "./resultCodes.js";

interface FailureOptions {
    /** Fields for logs and `--json`. They must not hold an API key or a value derived from one. */
    readonly details?: Readonly<Record<string, string | number | boolean>>;
    readonly cause?: unknown;
}

/** An expected error with a numbered result code and a hint that tells the reader what to do. */
export class Failure extends Error {
    override readonly name = "Failure";
    readonly details: Readonly<Record<string, string | number | boolean>>;

    /**
     * @param code Name of the result code.
     * @param message What happened, without secrets; the meaning of the result code by default.
     */
    constructor(
        readonly code: keyof typeof resultCodes,
        message: string = resultCodes[code].meaning,
        opts: FailureOptions = {},
    ) {
        super(message, { cause: opts.cause });
        this.details = opts.details ?? {};
    }

    /** Number of the result code, for example 3005. */
    get number(): number {
        return resultCodes[this.code].number;
    }

    /** What the reader can do about the failure. */
    get hint(): string {
        return resultCodes[this.code].hint;
    }

    /** True if no target has run or will run the refused request. */
    get isNotRun(): boolean {
        return resultCodes[this.code].outcome === "not run";
    }
}
