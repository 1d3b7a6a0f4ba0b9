import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type { CallCount } from "./callCount.js";
import { decodeResponse } from "./decodeResponse.js";
import { type HostList, type ListedHost, listedHostSchema } from "./hostList.js";
import type { ObjectStore, StoreChange, StoredObject, WriteCondition } from "./objectStore.js";
import { StoreConnection } from "./storeConnection.js";

interface HttpObjectStoreOptions {
    /** Time limit of a call in ms; a watch has its own limit, which depends on its waiting time. */
    readonly timeoutMs?: number;
    /** Maximum number of connections to the store. */
    readonly connections?: number;
    /** Local address that connections are opened from. */
    readonly localAddress?: string;
    /** Bearer token that authenticates this client to the store. */
    readonly token?: string;
}

interface ObjectResponse {
    readonly status: number;
    /** Version of the object from the `ETag` header; empty if the header is absent. */
    readonly version: string;
    readonly text: string;
}

const DEFAULT_TIMEOUT_MS = 2_000;
const DEFAULT_CONNECTIONS = 16;
/** A watch without a response this long after its waiting time is treated as failed and closed. */
const WATCH_GRACE_MS = 2_000;
const MAX_VALUE_BYTES = 1_000_000;

const changeSchema = z.object({ revision: z.number(), names: z.array(z.string()) });
const namesSchema = z.array(z.string());
const hostsSchema = z.array(listedHostSchema);

/** HTTP client of the platform's object store and host list. */
export class HttpObjectStore implements ObjectStore, HostList {
    /** Calls made by this client. */
    readonly calls: CallCount = { read: 0, write: 0, watch: 0 };
    private readonly connection: StoreConnection;
    private readonly timeoutMs: number;

    constructor(url: string, opts: HttpObjectStoreOptions = {}) {
        const { connections = DEFAULT_CONNECTIONS, localAddress, token } = opts;
        const headers = token === undefined ? {} : { authorization: `Bearer ${token}` };
        this.connection = new StoreConnection(url, { connections, localAddress, headers });
        this.timeoutMs = opts.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    }

    async get(name: string): Promise<Result<StoredObject | undefined, Failure>> {
        this.calls.read++;
        const response = await this.call({ method: "GET", path: objectPath(name) });
        return response.andThen(({ status, text: value, version }) => {
            if (status === 404) {
                return ok(undefined);
            }
            return status === 200 ? ok({ value, version }) : err(statusFailure(status));
        });
    }

    async put(name: string, value: string, condition: WriteCondition): Promise<Result<string, Failure>> {
        if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
            return err(new Failure("valueTooLarge", `${name} is larger than ${MAX_VALUE_BYTES} bytes`));
        }
        this.calls.write++;
        const headers = "absent" in condition ? { "if-none-match": "*" } : { "if-match": condition.version };
        const response = await this.call({ method: "PUT", path: objectPath(name), headers, body: value });
        return response.andThen(({ status, version }) => {
            if (status === 412) {
                return err(new Failure("storeConflict", `${name} was changed by another writer`));
            }
            return status === 200 ? ok(version) : err(statusFailure(status));
        });
    }

    async delete(name: string, version: string): Promise<Result<void, Failure>> {
        this.calls.write++;
        const response = await this.call({
            method: "DELETE",
            path: objectPath(name),
            headers: { "if-match": version },
        });
        return response.andThen(({ status }) => {
            if (status === 412) {
                return err(new Failure("storeConflict", `${name} was changed by another writer`));
            }
            return status === 204 || status === 404 ? ok(undefined) : err(statusFailure(status));
        });
    }

    async list(prefix: string): Promise<Result<readonly string[], Failure>> {
        this.calls.read++;
        return this.callJson(`/v1/values?prefix=${encodeURIComponent(prefix)}`, namesSchema, this.timeoutMs);
    }

    async watch(prefix: string, afterRevision: number, waitMs: number): Promise<Result<StoreChange, Failure>> {
        this.calls.watch++;
        const query = `prefix=${encodeURIComponent(prefix)}&after=${afterRevision}&wait=${waitMs}`;
        return this.callJson(`/v1/watch?${query}`, changeSchema, waitMs + WATCH_GRACE_MS);
    }

    async hosts(): Promise<Result<readonly ListedHost[], Failure>> {
        this.calls.read++;
        return this.callJson("/v1/hosts", hostsSchema, this.timeoutMs);
    }

    /** Aborts all calls and closes all connections. */
    async close(): Promise<void> {
        await this.connection.close();
    }

    private async callJson<S extends z.ZodType>(
        path: string,
        schema: S,
        timeoutMs: number,
    ): Promise<Result<z.output<S>, Failure>> {
        const response = await this.call({ method: "GET", path }, timeoutMs);
        return response.andThen(({ status, text }): Result<z.output<S>, Failure> => {
            return status === 200 ? decodeResponse(text, schema) : err(statusFailure(status));
        });
    }

    private async call(
        request: Parameters<StoreConnection["call"]>[0],
        timeoutMs = this.timeoutMs,
    ): Promise<Result<ObjectResponse, Failure>> {
        const response = await this.connection.call(request, timeoutMs);
        return response.map(({ status, headers, text }) => ({ status, version: String(headers["etag"] ?? ""), text }));
    }
}

function objectPath(name: string): string {
    return `/v1/values/${encodeURIComponent(name)}`;
}

function statusFailure(status: number): Failure {
    if (status === 401 || status === 403) {
        return new Failure("storeDenied", `the store responded with status ${status}`);
    }
    return status >= 500
        ? new Failure("storeUnreachable", `the store responded with status ${status}`)
        : new Failure("storeRejected", `the store responded with status ${status}`);
}
