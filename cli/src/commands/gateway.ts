import { Gateway, LineWriter, parseGatewaySettings } from "@pistachioreel/gateway";
import { Logger } from "@pistachioreel/logging";
import { Platform } from "@pistachioreel/platform";
import { err } from "neverthrow";
import type { Command } from "../command.js";
import { logUnexpectedErrors } from "../logUnexpectedErrors.js";
import { readSettings } from "../readSettings.js";
import { runHost } from "../runHost.js";

/** Time for the output of the last lines before the process exits, in ms. */
const EXIT_DELAY_MS = 100;

/** Runs a gateway host in this process. SIGHUP does not end it; changed settings take effect at the next start. */
export const gateway: Command = {
    name: "gateway",
    summary: "run a gateway host on the platform until SIGTERM or SIGINT",
    flags: ["settings"],
    usage: `--settings FILE

Example: pistachioreel gateway --settings gateway.jsonc`,
    async run(input) {
        const settings = await readSettings(input, parseGatewaySettings);
        if (settings.isErr()) {
            return err(settings.error);
        }
        const lineWriter = new LineWriter();
        const logger = new Logger(settings.value.hostId, { level: settings.value.logLevel, write: lineWriter.write });
        logUnexpectedErrors(logger);
        const platform = new Platform({ settings: settings.value, logger });
        const host = new Gateway({ settings: settings.value, platform, logger });
        process.on("SIGHUP", () => host.reload());
        const result = await runHost(host);
        await platform.close();
        await lineWriter.flush();
        // A timer that is still pending must not keep the process past its stop timeout.
        setTimeout(() => process.exit(), EXIT_DELAY_MS).unref();
        return result;
    },
};
