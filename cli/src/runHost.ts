import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import type { CommandOutput } from "./command.js";

interface Host {
    /** Rejects if the host cannot start. */
    start(): Promise<void>;
    /** Shuts down; returns whether all requests had finished. */
    stop(): Promise<boolean>;
}

/** Runs a host until the first SIGTERM or SIGINT. Failure: `argumentInvalid` if the host cannot start. */
export async function runHost(host: Host): Promise<Result<CommandOutput, readonly Failure[]>> {
    const stopRequested = waitForStopSignal();
    try {
        await host.start();
    }
    catch (cause) {
        const reason = cause instanceof Error ? cause.message : String(cause);
        return err([new Failure("argumentInvalid", `the host cannot start: ${reason}`, { cause })]);
    }
    await stopRequested;
    const drained = await host.stop();
    return ok({ text: drained ? "stopped" : "stopped before all requests had finished", json: { drained } });
}

/** Resolves at the first signal. Further ones change nothing; without a handler they would end the process at once. */
function waitForStopSignal(): Promise<void> {
    return new Promise(resolve => {
        process.on("SIGTERM", () => resolve());
        process.on("SIGINT", () => resolve());
    });
}
