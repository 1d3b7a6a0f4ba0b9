import type { Logger } from "@pistachioreel/logging";

type ErrorEmitter = Pick<NodeJS.Process, "on">;

/**
 * Logs errors that no part of the program has caught, instead of ending the process: its requests, links and tasks do not
 * depend on each other, and all of them would be lost by the error of one.
 */
export function logUnexpectedErrors(logger: Logger, emitter: ErrorEmitter = process): void {
    const log = (cause: unknown) => {
        const reason = cause instanceof Error ? cause.stack ?? cause.message : String(cause);
        logger.error({ event: "unexpected-error", fields: { reason } });
    };
    emitter.on("uncaughtException", log);
    emitter.on("unhandledRejection", log);
}
