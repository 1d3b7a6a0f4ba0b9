import { join } from "node:path";
import { RecordFile } from "./recordFile.js";

/** What a case has found. */
export interface Finding {
    readonly isBroken: boolean;
    /** One line that names the figures that decide. */
    readonly summary: string;
}

interface CaseContext {
    readonly record: RecordFile;
    /** Whether the disruption takes place. */
    readonly hasTrouble: boolean;
}

/** Longest time of a case; it counts as not run after that. */
const MAX_MS = 115_000;
const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

/**
 * Runs a case and ends the process: with 1 if the rule was broken, 0 if it held and 2 if the case could not run. The first
 * argument names the folder of `record.txt`.
 */
export async function runCase(run: (context: CaseContext) => Promise<Finding>): Promise<never> {
    const record = new RecordFile(join(process.argv[2] ?? ".", "record.txt"));
    const hasTrouble = process.env["TROUBLE"] !== "0";
    const timer = setTimeout(() => end(EXIT_NOT_RUN, "the case took too long"), MAX_MS);
    const end = (code: number, text: string): never => {
        clearTimeout(timer);
        record.add("result", { code });
        record.add(text);
        record.flush();
        process.stdout.write(`${text}\n`);
        process.exit(code);
    };
    for (const signal of ["SIGTERM", "SIGINT"]) {
        process.once(signal, () => end(EXIT_NOT_RUN, `ended by ${signal}`));
    }
    try {
        const { isBroken, summary } = await run({ record, hasTrouble });
        return end(isBroken ? EXIT_BROKEN : EXIT_HELD, summary);
    }
    catch (cause) {
        return end(EXIT_NOT_RUN, `not run: ${cause instanceof Error ? cause.stack : String(cause)}`);
    }
}
