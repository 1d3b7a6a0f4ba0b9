import type { Failure } from "@pistachioreel/result-code";
import type { Result } from "neverthrow";
import { parseJsonFile } from "./parseJsonFile.js";
import { type Settings, settingsSchema } from "./settings.js";

/** Parses the settings of an entry host (JSON with comments). */
export function parseSettings(file: string, text: string): Result<Settings, Failure[]> {
    return parseJsonFile(file, text, settingsSchema);
}
