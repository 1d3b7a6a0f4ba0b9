/** One log event: a name in kebab case and its fields. Fields never hold keys or values derived from keys. */
export interface LogEvent {
    readonly event: string;
    readonly fields?: Readonly<Record<string, string | number | boolean | undefined>>;
}
