import { HttpObjectStore } from "@pistachioreel/platform-store";
import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import type { CommandInput } from "./command.js";

const STORE_VARIABLE = "PISTACHIOREEL_STORE";
/** The token is read only from the environment, as flags are visible in the list of processes. */
const TOKEN_VARIABLE = "PISTACHIOREEL_STORE_TOKEN";

/**
 * Creates a client of the store that `--store` or the environment names, with the operator's token from the
 * environment. Failure: `argumentInvalid`.
 */
export function openStore({ flags }: CommandInput): Result<HttpObjectStore, Failure> {
    const url = flags["store"] ?? process.env[STORE_VARIABLE];
    if (url === undefined || !URL.canParse(url)) {
        return err(new Failure("argumentInvalid", `--store or ${STORE_VARIABLE} must give the URL of the store`));
    }
    return ok(new HttpObjectStore(url, { token: process.env[TOKEN_VARIABLE] }));
}
