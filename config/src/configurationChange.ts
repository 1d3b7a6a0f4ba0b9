/** One difference between two configurations. */
export interface ConfigurationChange {
    readonly kind: "added" | "removed" | "changed";
    /** What differs, for example `workspaces.tbilisi-bank.rate` or `targets.10.0.0.1:8080.slots`. */
    readonly field: string;
    /** Value before, as JSON; absent if added. */
    readonly before?: string;
    /** Value after, as JSON; absent if removed. */
    readonly after?: string;
}
