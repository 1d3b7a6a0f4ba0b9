import { randomBytes } from "node:crypto";

const RANDOM_BYTES = 6;

/** Creates the id of a run of a host's process: start time and 48 random bits. Later starts sort after earlier ones. */
export function newIncarnation(startedAt = Date.now()): string {
    return `${String(startedAt).padStart(13, "0")}-${randomBytes(RANDOM_BYTES).toString("hex")}`;
}
