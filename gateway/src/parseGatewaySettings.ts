import { parseJsonFile } from "@pistachioreel/config";
import type { Failure } from "@pistachioreel/result-code";
import type { Result } from "neverthrow";
import { type GatewaySettings, gatewaySettingsSchema } from "./settings.js";

/** Parses the settings of a gateway host, JSON with comments. Returns one failure for each error. */
export function parseGatewaySettings(file: string, text: string): Result<GatewaySettings, Failure[]> {
    return parseJsonFile(file, text, gatewaySettingsSchema);
}
