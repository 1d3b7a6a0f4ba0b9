import { Configuration } from "@pistachioreel/config";
import type { Failure } from "@pistachioreel/result-code";
import { err, Result } from "neverthrow";
import type { CommandInput } from "./command.js";
import { readTextFile } from "./readTextFile.js";
import { requireFlag } from "./requireFlag.js";

/** Reads and validates the files that `--inventory` and `--rules` name. Returns all failures of a step together. */
export async function loadConfiguration(input: CommandInput): Promise<Result<Configuration, readonly Failure[]>> {
    const paths = Result.combineWithAllErrors([requireFlag(input, "inventory"), requireFlag(input, "rules")]);
    if (paths.isErr()) {
        return err(paths.error);
    }
    const [inventoryPath, rulesPath] = paths.value as [string, string];
    const texts = Result.combineWithAllErrors([await readTextFile(inventoryPath), await readTextFile(rulesPath)]);
    if (texts.isErr()) {
        return err(texts.error);
    }
    const [inventoryText, rulesText] = texts.value as [string, string];
    return Configuration.fromFiles(
        { name: inventoryPath, text: inventoryText },
        { name: rulesPath, text: rulesText },
    );
}
