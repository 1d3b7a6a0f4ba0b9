import { Caller, type CallerRecord, type Fleet } from "@pistachioreel/testing";
import { randomBytes } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { Deployment } from "./deployment.js";

/** What traffic to send, and for how long. */
interface TrafficOptions {
    readonly fleet: Fleet;
    readonly deployment: Deployment;
    /** API key of each workspace. */
    readonly keys: ReadonlyMap<string, string>;
    readonly durationMs: number;
}

const CALLER_COUNT = 24;
const REQUEST_PAUSE_MS = 100;
const MAX_ATTEMPTS = 4;
const LOOKUP_LIFETIME_MS = 2_000;
const HOST_COUNT = 10;

/**
 * Concurrent callers that look up the entry hosts to use, send requests to them and repeat a request that failed, on
 * another host if there is one.
 */
export class TrafficGenerator {
    private readonly caller = new Caller();
    private sequence = 0;

    constructor(private readonly opts: TrafficOptions) {}

    /** Outcomes of all requests so far, each attempt on its own. */
    get records(): readonly CallerRecord[] {
        return this.caller.records;
    }

    /** Sends requests until the duration is over and the last of them have ended. */
    async run(): Promise<void> {
        const endAt = Date.now() + this.opts.durationMs;
        await Promise.all(Array.from({ length: CALLER_COUNT }, (_, index) => this.runCaller(index, endAt)));
        await this.caller.close();
    }

    private async runCaller(index: number, endAt: number): Promise<void> {
        let hosts: string[] = [];
        let lookedUpAt = 0;
        while (Date.now() < endAt) {
            if (Date.now() - lookedUpAt > LOOKUP_LIFETIME_MS) {
                hosts = await this.lookUp(index);
                lookedUpAt = Date.now();
            }
            await this.sendRequest(index, hosts);
            await sleep(REQUEST_PAUSE_MS);
        }
    }

    /** Every host serves lookups, so a caller tries the next host if one does not respond. */
    private async lookUp(index: number): Promise<string[]> {
        for (let offset = 0; offset < HOST_COUNT; offset++) {
            try {
                const response = await request(
                    `http://${this.opts.fleet.callersAddressOf((index + offset) % HOST_COUNT)}/v1/lookup`,
                );
                return (await response.body.json() as { hosts: string[]; }).hosts;
            }
            catch {
                continue;
            }
        }
        throw new Error("no entry host responded to /v1/lookup");
    }

    /** Sends one request, repeated with the same marker until a 200 response arrives or no attempts are left. */
    private async sendRequest(index: number, hosts: readonly string[]): Promise<void> {
        const { deployment, keys } = this.opts;
        const kind = this.chooseRequestKind();
        const workspace = deployment.workspaces[index % deployment.workspaces.length] as string;
        const marker = `${deployment.name}-${index}-${++this.sequence}`;
        const { method, path, isIdempotent, bodyBytes } = kind;
        const body = bodyBytes > 0 ? randomBytes(bodyBytes) : undefined;
        for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            const host = hosts[attempt % hosts.length] as string;
            const { outcome } = await this.caller.send({
                host,
                path,
                marker,
                method,
                key: keys.get(workspace),
                body,
                isIdempotent,
            });
            if (outcome === "complete" || outcome === "wrong") {
                return;
            }
        }
    }

    /** Chooses a kind of request at random, by weight. */
    private chooseRequestKind(): Deployment["requestKinds"][number] {
        const { requestKinds } = this.opts.deployment;
        let remainingWeight = Math.random() * requestKinds.reduce((sum, { weight }) => sum + weight, 0);
        return requestKinds.find(({ weight }) => (remainingWeight -= weight) < 0) ??
            requestKinds[0] as Deployment["requestKinds"][number];
    }
}
