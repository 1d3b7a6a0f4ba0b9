import loglevel from "loglevel";
import type { LogEvent } from "./logEvent.js";
import { renderLogLine } from "./renderLogLine.js";

type Level = "debug" | "info" | "warn" | "error";

interface LoggerOptions {
    /** Least severe level that is written; `info` by default. */
    readonly level?: Level;
    /** Clock for the `time` of each line; the system clock by default. */
    readonly now?: () => Date;
    /** Receives each rendered line; standard error by default. */
    readonly write?: (line: string) => void;
}

/** Writes log events as lines of key=value pairs. Loggers with the same name share the options of the newest one. */
export class Logger {
    private readonly log: loglevel.Logger;
    private readonly now: () => Date;

    constructor(name: string, opts: LoggerOptions = {}) {
        this.now = opts.now ?? (() => new Date());
        const write = opts.write ?? (line => process.stderr.write(`${line}\n`));
        this.log = loglevel.getLogger(name);
        this.log.methodFactory = () => (line: string) => write(line);
        this.log.setLevel(opts.level ?? "info", false);
    }

    debug(event: LogEvent): void {
        this.log.debug(renderLogLine("debug", event, this.now()));
    }

    info(event: LogEvent): void {
        this.log.info(renderLogLine("info", event, this.now()));
    }

    warn(event: LogEvent): void {
        this.log.warn(renderLogLine("warn", event, this.now()));
    }

    error(event: LogEvent): void {
        this.log.error(renderLogLine("error", event, this.now()));
    }
}
