/** Place of a request in the order of a service: by the priority of its workspace, then of its route. 0 is the highest. */
export interface Rank {
    readonly workspacePriority: number;
    readonly routePriority: number;
}
