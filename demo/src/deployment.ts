/** One kind of request that callers of a deployment send. */
interface RequestKind {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly isIdempotent: boolean;
    /** Size of the request body; 0 for none. */
    readonly bodyBytes: number;
    /** Relative frequency among the kinds of requests of the deployment. */
    readonly weight: number;
}

/** An example deployment and the traffic of its callers. */
export interface Deployment {
    /** Name of its folder under `examples/`. */
    readonly name: string;
    readonly regions: readonly string[];
    readonly workspaces: readonly string[];
    readonly requestKinds: readonly RequestKind[];
}
