import { parseSettings } from "@pistachioreel/config";
import { EntryHost } from "@pistachioreel/entry";
import { Failure } from "@pistachioreel/result-code";
import { err, ok } from "neverthrow";
import type { Command } from "../command.js";
import { readTextFile } from "../readTextFile.js";
import { requireFlag } from "../requireFlag.js";
import { stopSignal } from "../stopSignal.js";

export const entry: Command = {
    name: "entry",
    summary: "run an entry host until SIGTERM or SIGINT",
    flags: ["settings"],
    usage: `--settings FILE

Example: pistachioreel entry --settings host-1.jsonc`,
    async run(input) {
        const path = requireFlag(input, "settings");
        if (path.isErr()) {
            return err([path.error]);
        }
        const text = await readTextFile(path.value);
        const settings = text.mapErr(failure => [failure]).andThen(content => parseSettings(path.value, content));
        if (settings.isErr()) {
            return err(settings.error);
        }
        const host = new EntryHost(settings.value);
        const stopped = stopSignal();
        try {
            await host.start();
        }
        catch (cause) {
            const reason = cause instanceof Error ? cause.message : String(cause);
            return err([new Failure("argumentInvalid", `the host cannot start: ${reason}`, { cause })]);
        }
        await stopped;
        const drained = await host.stop();
        const summary = drained ? "stopped" : "stopped before all requests had finished";
        return ok({ text: summary, json: { drained } });
    },
};
