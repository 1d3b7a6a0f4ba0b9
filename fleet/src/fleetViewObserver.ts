import type { Usage } from "./usage.js";

/** Receives what other hosts report, each request counted once whichever way its report took. */
export interface FleetViewObserver {
    /** Replaces the running requests of a source, by target id; `undefined` if the source is not used any more. */
    onRunning(sourceId: string, running: Readonly<Record<string, number>> | undefined): void;
    /** Further requests that other hosts have received and admitted, by workspace. */
    onUsage(increases: ReadonlyMap<string, Usage>): void;
}
