import type { ListedHost } from "@pistachioreel/platform-store";
import { request } from "undici";
import type { z } from "zod";
import type { HostReply } from "./hostReply.js";

const REPLY_TIMEOUT_MS = 2_000;

/**
 * Requests a path of the admin listeners of all hosts in parallel. Never rejects: a host without a valid reply in time
 * is returned without a body.
 */
export function queryHosts<S extends z.ZodType>(
    hosts: readonly ListedHost[],
    path: string,
    schema: S,
): Promise<HostReply<z.output<S>>[]> {
    return Promise.all(hosts.map(async host => ({ host, body: await queryHost(host, path, schema) })));
}

async function queryHost<S extends z.ZodType>(
    host: ListedHost,
    path: string,
    schema: S,
): Promise<z.output<S> | undefined> {
    try {
        const { body } = await request(`http://${host.admin}${path}`, {
            signal: AbortSignal.timeout(REPLY_TIMEOUT_MS),
        });
        return schema.parse(await body.json());
    }
    catch {
        return undefined;
    }
}
