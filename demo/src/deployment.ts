/** One kind of request that callers of a deployment send. */
interface RequestKind {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly isIdempotent: boolean;
    readonly bodyBytes: number;
    /** Relative frequency. */
    readonly weight: number;
}

/** A deployment of the examples folder and the traffic of its callers. */
export interface Deployment {
    readonly name: string;
    readonly regions: readonly string[];
    readonly workspaces: readonly string[];
    readonly requestKinds: readonly RequestKind[];
}
