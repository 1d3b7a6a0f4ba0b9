import { DocumentRepository, fleetDocumentSchema } from "@pistachioreel/documents";
import type { HostList, ListedHost, ObjectStore } from "@pistachioreel/platform-store";
import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { hostStatusSchema } from "./hostStatus.js";
import type { OperatorDocument } from "./operatorDocument.js";
import { queryHosts } from "./queryHosts.js";

/**
 * Writes the version of a document that hosts have in force into the store again, if the store has only an older one, as it came
 * back from a copy. A change is then based on what is in force. What only hosts know that don't reply is not recovered.
 *
 * Failures: `storeBehind` if the host that has the version doesn't hand it out, and those of the store.
 */
export async function recoverDocument(
    store: HostList & ObjectStore,
    name: OperatorDocument,
): Promise<Result<void, Failure>> {
    const repository = new DocumentRepository(store);
    const [hosts, pointer] = [await store.hosts(), await repository.readPointer(name)];
    if (hosts.isErr() || pointer.isErr()) {
        return hosts.isErr() ? err(hosts.error) : pointer.map(() => undefined);
    }
    const storedVersion = pointer.value?.version ?? 0;
    const newest = await findNewest(hosts.value, name);
    if (newest === undefined || newest.version <= storedVersion) {
        return ok(undefined);
    }
    const { host, version } = newest;
    const [reply] = await queryHosts([host], `/v1/documents/${name}`, fleetDocumentSchema);
    if (reply?.body === undefined) {
        const message = `${host.id} has version ${version} of ${name}, the store has ${storedVersion}`;
        return err(new Failure("storeBehind", message));
    }
    process.stderr.write(`the store had lost version ${version} of ${name}; it is written again from ${host.id}\n`);
    return (await repository.writeAgain(reply.body)).map(() => undefined);
}

/** The host with the highest version of the document among those that reply. */
async function findNewest(
    hosts: readonly ListedHost[],
    name: OperatorDocument,
): Promise<{ readonly host: ListedHost; readonly version: number; } | undefined> {
    const replies = await queryHosts(hosts, "/v1/status", hostStatusSchema);
    return replies.map(({ host, body }) => ({ host, version: body?.documents[name] ?? 0 }))
        .toSorted((a, b) => b.version - a.version)[0];
}
