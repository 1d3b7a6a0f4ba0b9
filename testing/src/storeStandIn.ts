import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

/** Faults of the store that tests can switch on. */
export interface StoreFault {
    /** `down`: no answer to any call; `lose-reply`: writes take effect and get no answer; `silent-watch`: watches hang. */
    readonly mode: "none" | "down" | "lose-reply" | "silent-watch";
    /** Time that each call takes, in ms. */
    readonly delayMs: number;
}

interface StoredEntry {
    readonly value: string;
    readonly version: string;
    readonly revision: number;
}

type ChangeListener = () => void;

/** Tokens that the store accepts; without them it accepts every call. */
interface StoreTokens {
    readonly operator?: string;
    readonly host?: string;
}

/** Objects that hosts may write; operators may write all. */
const HOST_WRITABLE_PREFIXES = ["documents/roster/", "once/"];

/** Small stand-in for the platform's store and host list. */
export class StoreStandIn {
    readonly server: Server;
    private readonly objects = new Map<string, StoredEntry>();
    private readonly changedNames: string[] = [];
    private readonly changeListeners = new Set<ChangeListener>();
    private readonly callCounts: Record<string, number> = {};
    private fault: StoreFault = { mode: "none", delayMs: 0 };
    private hosts: unknown = [];

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

    private isAllowed({ method, headers }: IncomingMessage, url: URL): boolean {
        const { operator, host } = this.tokens;
        const token = headers.authorization?.replace("Bearer ", "");
        if (operator === undefined || token === operator) {
            return true;
        }
        const name = decodeURIComponent(url.pathname.slice("/v1/values/".length));
        return token === host && (method === "GET" || HOST_WRITABLE_PREFIXES.some(prefix => name.startsWith(prefix)));
    }

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

    private async handleControl(path: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await readBody(request);
        if (path === "/control/fault") {
            this.fault = { mode: "none", delayMs: 0, ...JSON.parse(body) as Partial<StoreFault> };
        }
        else if (path === "/control/hosts") {
            this.hosts = JSON.parse(body);
        }
        const objects = Object.fromEntries([...this.objects].map(([name, { value }]) => [name, value]));
        respond(response, 200, JSON.stringify(path === "/control/values" ? objects : this.callCounts));
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
