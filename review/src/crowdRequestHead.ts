interface CrowdRequest {
    readonly method: string;
    readonly path: string;
    readonly id: string;
    readonly tenant: number;
    readonly deadlineMs: number;
    /** Further header lines. */
    readonly lines?: readonly string[];
}

/** The head of a request of one of the eight tenants. */
export function crowdRequestHead({ method, path, id, tenant, deadlineMs, lines = [] }: CrowdRequest): string {
    return [
        `${method} ${path} HTTP/1.1`,
        "Host: witness.example",
        `X-Request-Id: ${id}`,
        `X-Deadline-Ms: ${deadlineMs}`,
        `Authorization: Token key-of-tenant-${tenant}`,
        ...lines,
        "\r\n",
    ].join("\r\n");
}
