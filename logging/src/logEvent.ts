/** One log event: a name in kebab case and its fields. Fields must not hold API keys or values derived from them. */
export interface LogEvent {
    readonly event: string;
    /** Undefined values are left out of the log line. */
    readonly fields?: Readonly<Record<string, string | number | boolean | undefined>>;
}
