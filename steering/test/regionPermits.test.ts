import type { PeerHandler, PeerIdentity, PeerMesh, PeerMessage } from "@pistachioreel/peering";
import { Failure } from "@pistachioreel/result-code";
import fc from "fast-check";
import { err, ok, type Result } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RegionPermits } from "../src/index.js";

const CAP = 12;
const OWNERS = ["perth-0", "perth-1"];
const HOSTS = [...OWNERS, "albany-0", "albany-1"];

/** Messages in flight between the hosts of one run; the test decides whether and when each arrives. */
class SimulatedNetwork {
    now = 0;
    readonly inFlight: { readonly deliver: () => void; readonly lose: () => void; }[] = [];
    readonly nodes = new Map<string, SimulatedHost>();

    constructor(readonly maxRunMs: number) {}

    deliver(index: number): void {
        this.inFlight.splice(index % Math.max(1, this.inFlight.length), 1)[0]?.deliver();
    }

    lose(index: number): void {
        this.inFlight.splice(index % Math.max(1, this.inFlight.length), 1)[0]?.lose();
    }
}

/** One process of a host, with a mesh that sends over the simulated network. */
class SimulatedHost implements PeerMesh {
    readonly permits: RegionPermits;
    readonly running: { readonly until: number; readonly release: () => void; }[] = [];
    private readonly handlers = new Map<string, PeerHandler>();
    private readonly identity: PeerIdentity;

    constructor(private readonly network: SimulatedNetwork, hostId: string, incarnation: string) {
        const region = hostId.split("-")[0] as string;
        this.identity = { hostId, incarnation, availabilityZone: region, region };
        network.nodes.set(hostId, this);
        this.permits = new RegionPermits({
            ...this.identity,
            mesh: this,
            isUncapped: () => false,
            ownedPermits: () => OWNERS.includes(hostId) ? CAP / OWNERS.length : 0,
            ownersOf: () => OWNERS,
            possibleHolders: () => HOSTS.filter(other => other !== hostId),
            maxRunMs: () => network.maxRunMs,
            onChange: () => {},
            now: () => network.now,
        });
    }

    /** Ends requests at their deadline, as delivery does. */
    endExpired(): void {
        const due = this.running.filter(({ until }) => until <= this.network.now);
        due.forEach(request => this.end(this.running.indexOf(request)));
    }

    end(index: number): void {
        this.running.splice(index, 1)[0]?.release();
    }

    start(): void {
        const release = this.permits.acquire("perth");
        if (release !== undefined) {
            this.running.push({ release, until: this.network.now + this.network.maxRunMs });
        }
        else {
            this.permits.requestPermits("perth");
        }
    }

    peers(): PeerIdentity[] {
        return [...this.network.nodes.values()].filter(node => node !== this).map(node => node.identity);
    }

    send(hostId: string, message: PeerMessage): boolean {
        const deliver = () => void this.network.nodes.get(hostId)?.handlers.get(message.type)?.(this.identity, message);
        this.network.inFlight.push({ deliver, lose: () => {} });
        return true;
    }

    request(hostId: string, message: PeerMessage): Promise<Result<PeerMessage, Failure>> {
        return new Promise(resolve => {
            const lose = () => resolve(err(new Failure("peerUnreachable")));
            const deliver = () => {
                const reply = this.network.nodes.get(hostId)?.handlers.get(message.type)?.(this.identity, message);
                this.network.inFlight.push({ deliver: () => resolve(ok(reply as PeerMessage)), lose });
            };
            this.network.inFlight.push({ deliver, lose });
        });
    }

    registerHandler(type: string, handler: PeerHandler): void {
        this.handlers.set(type, handler);
    }

    addHeartbeatPart(): void {}

    sendHeartbeats(): void {}

    onPeersChange(): void {}
}

const host = fc.nat({ max: HOSTS.length - 1 });
const step = fc.oneof(
    { weight: 14, arbitrary: fc.record({ kind: fc.constant("start" as const), host }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("end" as const), host }) },
    { weight: 8, arbitrary: fc.record({ kind: fc.constant("deliver" as const), host: fc.nat({ max: 30 }) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("lose" as const), host: fc.nat({ max: 30 }) }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("wait" as const), host: fc.nat({ max: 400 }) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("tick" as const), host }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("replace" as const), host }) },
);

function runningIn(network: SimulatedNetwork): number {
    return [...network.nodes.values()].reduce((sum, node) => sum + node.running.length, 0);
}

async function flushPromises(): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
}

/** Starts all hosts and delivers their first messages, so that they know each other's grants. */
async function startHosts(maxRunMs = 1_000): Promise<SimulatedNetwork> {
    const network = new SimulatedNetwork(maxRunMs);
    HOSTS.forEach(id => new SimulatedHost(network, id, `${id}-first`));
    network.nodes.forEach(node => node.permits.tick());
    for (let i = 0; i < 100 && network.inFlight.length > 0; i++) {
        network.deliver(0);
        await flushPromises();
    }
    return network;
}

test("all hosts together stay under a region's cap when messages are late or lost and hosts are replaced", async () => {
    let mostRunning = 0;
    await fc.assert(
        fc.asyncProperty(
            fc.array(step, { minLength: 200, maxLength: 400, size: "max" }),
            fc.constantFrom(300, 10_000),
            async (steps, maxRunMs) => {
                const network = await startHosts(maxRunMs);
                let replaced = 0;
                for (const { kind, host: number } of steps) {
                    const id = HOSTS[number % HOSTS.length] as string;
                    switch (kind) {
                        case "start":
                            network.nodes.get(id)?.start();
                            break;
                        case "end":
                            network.nodes.get(id)?.end(0);
                            break;
                        case "deliver":
                            network.deliver(number);
                            break;
                        case "lose":
                            network.lose(number);
                            break;
                        case "wait":
                            network.now += number;
                            network.nodes.forEach(node => node.endExpired());
                            break;
                        case "tick":
                            network.nodes.get(id)?.permits.tick();
                            break;
                        case "replace":
                            // The requests of the old process end with its connections.
                            new SimulatedHost(network, id, `${id}-${++replaced}`);
                            break;
                    }
                    await flushPromises();
                    mostRunning = Math.max(mostRunning, runningIn(network));
                    assert.ok(runningIn(network) <= CAP, `${runningIn(network)} running under a cap of ${CAP}`);
                }
            },
        ),
        { numRuns: Number(process.env["RUNS"] ?? 200), seed: Number(process.env["SEED"] ?? 1), endOnFailure: true },
    );
    assert.ok(mostRunning >= CAP - 2, `the cap is never approached: ${mostRunning}`);
});

test("a host of another region can use most of an idle region's permits", async () => {
    const network = await startHosts();
    const remote = network.nodes.get("albany-0") as SimulatedHost;
    for (let i = 0; i < 200; i++) {
        remote.start();
        network.deliver(0);
        await flushPromises();
        network.now += 60;
        if (remote.running.length >= CAP - 2) {
            return;
        }
    }
    assert.fail(`only ${remote.running.length} of ${CAP}`);
});

test("a late grant starts no request after its start window, which begins when the request is sent", async () => {
    const network = await startHosts();
    const remote = network.nodes.get("albany-0") as SimulatedHost;
    remote.start();
    network.now += 1_500;
    network.deliver(0);
    network.deliver(0);
    await flushPromises();
    assert.ok(remote.permits.hasPermit("perth"));
    network.now += 600;
    assert.ok(!remote.permits.hasPermit("perth"), "the owner may have lent the permits to others by now");
    assert.equal(remote.permits.acquire("perth"), undefined);
});
