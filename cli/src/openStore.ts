import { HttpObjectStore } from "@pistachioreel/platform-store";
import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import type { CommandInput } from "./command.js";

const STORE_VARIABLE = "PISTACHIOREEL_STORE";
/** There is no flag for the token, as flags show in the list of processes. */
const TOKEN_VARIABLE = "PISTACHIOREEL_STORE_TOKEN";

/** Client of the store named by `--store` or the environment, with the operator token of the environment. Failure: `argumentInvalid`. */
export function openStore({ flags }: CommandInput): Result<HttpObjectStore, Failure> {
    const url = flags["store"] ?? process.env[STORE_VARIABLE];
    if (url === undefined || !URL.canParse(url)) {
        return err(new Failure("argumentInvalid", `--store or ${STORE_VARIABLE} must give the URL of the store`));
    }
    return ok(new HttpObjectStore(url, { token: process.env[TOKEN_VARIABLE] }));
}
