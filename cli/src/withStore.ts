import type { HttpObjectStore } from "@pistachioreel/platform-store";
import type { Failure } from "@pistachioreel/result-code";
import { err, type Result } from "neverthrow";
import type { CommandInput } from "./command.js";
import { openStore } from "./openStore.js";

/** Runs an operation on the store that the command line names, and closes the store afterwards. */
export async function withStore<T>(
    input: CommandInput,
    operation: (store: HttpObjectStore) => Promise<Result<T, Failure>>,
): Promise<Result<T, readonly Failure[]>> {
    const store = openStore(input);
    if (store.isErr()) {
        return err([store.error]);
    }
    try {
        return (await operation(store.value)).mapErr(failure => [failure]);
    }
    finally {
        await store.value.close();
    }
}
