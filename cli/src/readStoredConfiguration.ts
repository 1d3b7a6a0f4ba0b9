import { Configuration } from "@pistachioreel/config";
import { DocumentRepository } from "@pistachioreel/documents";
import type { ObjectStore } from "@pistachioreel/platform-store";
import type { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";

interface StoredConfiguration {
    /** 0 if nothing has been applied yet. */
    readonly version: number;
    /** `undefined` if nothing has been applied yet. */
    readonly configuration: Configuration | undefined;
}

/** Reads the configuration in the store and its version. */
export async function readStoredConfiguration(store: ObjectStore): Promise<Result<StoredConfiguration, Failure>> {
    const document = await new DocumentRepository(store).read("config");
    if (document.isErr()) {
        return err(document.error);
    }
    if (document.value === undefined) {
        return ok({ version: 0, configuration: undefined });
    }
    const { version, content } = document.value;
    return Configuration.fromContent(content).map(configuration => ({ version, configuration }));
}
