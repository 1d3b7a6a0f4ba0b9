import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

/** Faults of the store that tests can switch on. */
export interface StoreFault {
    /**
     * - `down`: closes the connection of every authorized call without a response.
     * - `lose-reply`: applies writes, but closes their connections without a response.
     * - `silent-watch`: never responds to watches.
     */
    readonly mode: "none" | "down" | "lose-reply" | "silent-watch";
    /** Delay of each call in ms. */
    readonly delayMs: number;
}

/** The value and version of an object, and the revision of the store that wrote it. */
interface StoredEntry {
    readonly value: string;
    readonly version: string;
    readonly revision: number;
}

type ChangeListener = () => void;

/** Bearer tokens that the store accepts; without an operator's token it accepts every call. */
interface StoreTokens {
    readonly operator?: string;
    readonly host?: string;
}

/** Name prefixes of the objects that hosts may write; operators may write all objects. */
const HOST_WRITABLE_PREFIXES = ["documents/roster/", "once/"];

/** In-memory test double of the platform's store and host list. */
export class StoreStandIn {
    readonly server: Server;
    private readonly objects = new Map<string, StoredEntry>();
    /** Name of the object of each write; its length is the revision of the store. */
    private readonly changedNames: string[] = [];
    private readonly changeListeners = new Set<ChangeListener>();
    /** Calls by HTTP method, those of tests to `/control/` excluded. */
    private readonly callCounts: Record<string, number> = {};
    private fault: StoreFault = { mode: "none", delayMs: 0 };
    private hosts: unknown = [];
    /** Objects and writes at the time of the copy. */
    private copy: { readonly objects: ReadonlyMap<string, StoredEntry>; readonly changedNames: readonly string[]; } = {
        objects: new Map(),
        changedNames: [],
    };

    constructor(private readonly tokens: StoreTokens = {}) {
        this.server = createServer((request, response) => {
            this.handleRequest(request, response).catch(() => response.destroy());
        });
    }

    private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "/", "http://store");
        if (url.pathname.startsWith("/control/")) {
            await this.handleControl(url.pathname, request, response);
            return;
        }
        this.callCounts[request.method ?? ""] = (this.callCounts[request.method ?? ""] ?? 0) + 1;
        const { fault } = this;
        await sleep(fault.delayMs);
        if (!this.isAllowed(request, url)) {
            respond(response, 403, "");
        }
        else if (fault.mode === "down") {
            request.socket.destroy();
        }
        else if (url.pathname === "/v1/watch") {
            await this.handleWatch(url, response);
        }
        else if (url.pathname === "/v1/hosts") {
            respond(response, 200, JSON.stringify(this.hosts));
        }
        else if (url.pathname === "/v1/values") {
            const prefix = url.searchParams.get("prefix") ?? "";
            respond(response, 200, JSON.stringify([...this.objects.keys()].filter(name => name.startsWith(prefix))));
        }
        else {
            await this.handleObject(decodeURIComponent(url.pathname.slice("/v1/values/".length)), request, response);
        }
    }

    /** Hosts may read all objects and write some; operators may do everything. */
    private isAllowed({ method, headers }: IncomingMessage, url: URL): boolean {
        const { operator, host } = this.tokens;
        const token = headers.authorization?.replace("Bearer ", "");
        if (operator === undefined || token === operator) {
            return true;
        }
        const name = decodeURIComponent(url.pathname.slice("/v1/values/".length));
        return token === host && (method === "GET" || HOST_WRITABLE_PREFIXES.some(prefix => name.startsWith(prefix)));
    }

    /** Reads, writes or deletes an object. Writes without `If-Match` only create; others need the current version. */
    private async handleObject(name: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await readBody(request);
        const entry = this.objects.get(name);
        if (request.method === "GET") {
            respond(response, entry === undefined ? 404 : 200, entry?.value ?? "", entry?.version);
            return;
        }
        const expectedVersion = request.headers["if-match"];
        const isExpectedVersion = expectedVersion === undefined
            ? entry === undefined
            : entry?.version === expectedVersion;
        if (!isExpectedVersion) {
            respond(response, request.method === "DELETE" && entry === undefined ? 404 : 412, "");
            return;
        }
        const revision = this.changedNames.push(name);
        const version = `"${revision}"`;
        if (request.method === "DELETE") {
            this.objects.delete(name);
        }
        else {
            this.objects.set(name, { value: body, version, revision });
        }
        this.changeListeners.forEach(wake => wake());
        if (this.fault.mode === "lose-reply") {
            request.socket.destroy();
            return;
        }
        respond(response, request.method === "DELETE" ? 204 : 200, "", version);
    }

    /** Long poll: responds with the names that changed after a revision, or with none when the wait is over. */
    private async handleWatch(url: URL, response: ServerResponse): Promise<void> {
        if (this.fault.mode === "silent-watch") {
            return;
        }
        const prefix = url.searchParams.get("prefix") ?? "";
        const after = Number(url.searchParams.get("after"));
        const namesSince = () => [...new Set(this.changedNames.slice(after).filter(name => name.startsWith(prefix)))];
        const deadline = Date.now() + Number(url.searchParams.get("wait"));
        while (namesSince().length === 0 && Date.now() < deadline && !response.destroyed) {
            await this.waitForChange(deadline - Date.now());
        }
        respond(response, 200, JSON.stringify({ revision: this.changedNames.length, names: namesSince() }));
    }

    /** Resolves at the next write or after the timeout. */
    private waitForChange(timeoutMs: number): Promise<void> {
        return new Promise(resolve => {
            const wake = () => {
                clearTimeout(timer);
                this.changeListeners.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, timeoutMs);
            this.changeListeners.add(wake);
        });
    }

    /** Handles a call of a test: sets the fault or the host list, or reads all objects or the call counts. */
    private async handleControl(path: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await readBody(request);
        if (path === "/control/fault") {
            this.fault = { mode: "none", delayMs: 0, ...JSON.parse(body) as Partial<StoreFault> };
        }
        else if (path === "/control/hosts") {
            this.hosts = JSON.parse(body);
        }
        else if (path === "/control/copy") {
            this.copy = { objects: new Map(this.objects), changedNames: [...this.changedNames] };
        }
        else if (path === "/control/restore") {
            this.restoreCopy();
        }
        const objects = Object.fromEntries([...this.objects].map(([name, { value }]) => [name, value]));
        respond(response, 200, JSON.stringify(path === "/control/values" ? objects : this.callCounts));
    }

    /** Comes back from the copy, revision included. */
    private restoreCopy(): void {
        this.objects.clear();
        this.copy.objects.forEach((entry, name) => this.objects.set(name, entry));
        this.changedNames.splice(0, Infinity, ...this.copy.changedNames);
    }
}

async function readBody(request: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString();
}

function respond(response: ServerResponse, status: number, body: string, version?: string): void {
    response.writeHead(status, version === undefined ? {} : { etag: version });
    response.end(body);
}
