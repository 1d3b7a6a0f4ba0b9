import { parseSettings } from "@pistachioreel/config";
import { EntryHost } from "@pistachioreel/entry";
import { err } from "neverthrow";
import type { Command } from "../command.js";
import { readSettings } from "../readSettings.js";
import { runHost } from "../runHost.js";

/** Runs an entry host in this process. */
export const entry: Command = {
    name: "entry",
    summary: "run an entry host until SIGTERM or SIGINT",
    flags: ["settings"],
    usage: `--settings FILE

Example: pistachioreel entry --settings host-1.jsonc`,
    async run(input) {
        const settings = await readSettings(input, parseSettings);
        return settings.isErr() ? err(settings.error) : runHost(new EntryHost(settings.value));
    },
};
