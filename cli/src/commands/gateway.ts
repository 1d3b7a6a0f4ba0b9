import { Gateway, parseGatewaySettings } from "@pistachioreel/gateway";
import { Platform } from "@pistachioreel/platform";
import { Failure } from "@pistachioreel/result-code";
import { err, ok } from "neverthrow";
import type { Command } from "../command.js";
import { readTextFile } from "../readTextFile.js";
import { requireFlag } from "../requireFlag.js";
import { stopSignal } from "../stopSignal.js";

/** Time for the last lines of output, in ms. */
const EXIT_DELAY_MS = 100;

export const gateway: Command = {
    name: "gateway",
    summary: "run a gateway host on the platform until SIGTERM or SIGINT",
    flags: ["settings"],
    usage: `--settings FILE

Example: pistachioreel gateway --settings gateway.jsonc`,
    async run(input) {
        const path = requireFlag(input, "settings");
        if (path.isErr()) {
            return err([path.error]);
        }
        const text = await readTextFile(path.value);
        const settings = text.mapErr(failure => [failure])
            .andThen(content => parseGatewaySettings(path.value, content));
        if (settings.isErr()) {
            return err(settings.error);
        }
        const platform = new Platform(settings.value);
        const host = new Gateway(settings.value, platform);
        process.on("SIGHUP", () => host.reload());
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
        await platform.close();
        // A timer that is still pending must not keep the process past its stop timeout.
        setTimeout(() => process.exit(), EXIT_DELAY_MS).unref();
        const summary = drained ? "stopped" : "stopped before all requests had finished";
        return ok({ text: summary, json: { drained } });
    },
};
