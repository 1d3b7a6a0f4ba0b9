import type { LogEvent } from "./logEvent.js";

/**
 * Renders an event as one line of key=value pairs. Values that are empty or contain white space, quotes or `=` are
 * quoted as JSON strings; undefined values are left out.
 */
export function renderLogLine(level: string, event: LogEvent, time: Date): string {
    const pairs = [`time=${time.toISOString()}`, `level=${level}`, `event=${event.event}`];
    for (const [name, value] of Object.entries(event.fields ?? {})) {
        if (value !== undefined) {
            pairs.push(`${name}=${renderValue(value)}`);
        }
    }
    return pairs.join(" ");
}

function renderValue(value: string | number | boolean): string {
    const text = String(value);
    return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}
