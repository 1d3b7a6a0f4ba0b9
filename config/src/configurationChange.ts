/** A field that differs between two configurations. */
export interface ConfigurationChange {
    readonly kind: "added" | "removed" | "changed";
    /** Path of the field, for example `workspaces.tbilisi-bank.rate` or `targets.10.0.0.1:8080.slots`. */
    readonly field: string;
    /** Old value as JSON; absent if the field was added. */
    readonly before?: string;
    /** New value as JSON; absent if the field was removed. */
    readonly after?: string;
}
