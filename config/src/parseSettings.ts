import type { Failure } from "@pistachioreel/result-code";
import type { Result } from "neverthrow";
import { parseJsonFile } from "./parseJsonFile.js";
import { type Settings, settingsSchema } from "./settings.js";

/** Parses the settings file of an entry host (JSON with comments). Returns the settings, or all failures. */
export function parseSettings(file: string, text: string): Result<Settings, Failure[]> {
    return parseJsonFile(file, text, settingsSchema);
}
