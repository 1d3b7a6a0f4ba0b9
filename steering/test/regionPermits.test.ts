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

/** Messages in flight between the hosts of one run; the test decides when and whether each arrives. */
class Wire {
    now = 0;
    readonly inFlight: { readonly deliver: () => void; readonly lose: () => void; }[] = [];
    readonly nodes = new Map<string, Node>();

    constructor(readonly maxRunMs: number) {}

    deliver(index: number): void {
        this.inFlight.splice(index % Math.max(1, this.inFlight.length), 1)[0]?.deliver();
    }

    lose(index: number): void {
        this.inFlight.splice(index % Math.max(1, this.inFlight.length), 1)[0]?.lose();
    }
}

/** One process with its end of the links. */
class Node implements PeerMesh {
    readonly permits: RegionPermits;
    readonly running: { readonly until: number; readonly release: () => void; }[] = [];
    private readonly handlers = new Map<string, PeerHandler>();
    private readonly identity: PeerIdentity;

    constructor(private readonly wire: Wire, hostId: string, incarnation: string) {
        const region = hostId.split("-")[0] as string;
        this.identity = { hostId, incarnation, availabilityZone: region, region };
        wire.nodes.set(hostId, this);
        this.permits = new RegionPermits({
            ...this.identity,
            mesh: this,
            isUncapped: () => false,
            ownedPermits: () => OWNERS.includes(hostId) ? CAP / OWNERS.length : 0,
            ownersOf: () => OWNERS,
            possibleHolders: () => HOSTS.filter(other => other !== hostId),
            maxRunMs: () => wire.maxRunMs,
            onChange: () => {},
            now: () => wire.now,
        });
    }

    /** Ends requests at their deadline, as delivery does. */
    endDue(): void {
        const due = this.running.filter(({ until }) => until <= this.wire.now);
        due.forEach(request => this.end(this.running.indexOf(request)));
    }

    end(index: number): void {
        this.running.splice(index, 1)[0]?.release();
    }

    start(): void {
        const release = this.permits.acquire("perth");
        if (release !== undefined) {
            this.running.push({ release, until: this.wire.now + this.wire.maxRunMs });
        }
        else {
            this.permits.requestPermits("perth");
        }
    }

    peers(): PeerIdentity[] {
        return [...this.wire.nodes.values()].filter(node => node !== this).map(node => node.identity);
    }

    send(hostId: string, message: PeerMessage): boolean {
        const deliver = () => void this.wire.nodes.get(hostId)?.handlers.get(message.type)?.(this.identity, message);
        this.wire.inFlight.push({ deliver, lose: () => {} });
        return true;
    }

    request(hostId: string, message: PeerMessage): Promise<Result<PeerMessage, Failure>> {
        return new Promise(resolve => {
            const lose = () => resolve(err(new Failure("peerUnreachable")));
            const deliver = () => {
                const answer = this.wire.nodes.get(hostId)?.handlers.get(message.type)?.(this.identity, message);
                this.wire.inFlight.push({ deliver: () => resolve(ok(answer as PeerMessage)), lose });
            };
            this.wire.inFlight.push({ deliver, lose });
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

function runningIn(wire: Wire): number {
    return [...wire.nodes.values()].reduce((sum, node) => sum + node.running.length, 0);
}

async function settle(): Promise<void> {
    await new Promise(resolve => setImmediate(resolve));
}

/** Starts all hosts and lets them hear from each other. */
async function startAll(maxRunMs = 1_000): Promise<Wire> {
    const wire = new Wire(maxRunMs);
    HOSTS.forEach(id => new Node(wire, id, `${id}-first`));
    wire.nodes.forEach(node => node.permits.tick());
    for (let i = 0; i < 100 && wire.inFlight.length > 0; i++) {
        wire.deliver(0);
        await settle();
    }
    return wire;
}

test("all hosts together stay under a region's cap when messages are late or lost and hosts are replaced", async () => {
    let mostRunning = 0;
    await fc.assert(
        fc.asyncProperty(
            fc.array(step, { minLength: 200, maxLength: 400, size: "max" }),
            fc.constantFrom(300, 10_000),
            async (steps, maxRunMs) => {
                const wire = await startAll(maxRunMs);
                let replaced = 0;
                for (const { kind, host: number } of steps) {
                    const id = HOSTS[number % HOSTS.length] as string;
                    switch (kind) {
                        case "start":
                            wire.nodes.get(id)?.start();
                            break;
                        case "end":
                            wire.nodes.get(id)?.end(0);
                            break;
                        case "deliver":
                            wire.deliver(number);
                            break;
                        case "lose":
                            wire.lose(number);
                            break;
                        case "wait":
                            wire.now += number;
                            wire.nodes.forEach(node => node.endDue());
                            break;
                        case "tick":
                            wire.nodes.get(id)?.permits.tick();
                            break;
                        case "replace":
                            // The requests of the old process end with its connections.
                            new Node(wire, id, `${id}-${++replaced}`);
                            break;
                    }
                    await settle();
                    mostRunning = Math.max(mostRunning, runningIn(wire));
                    assert.ok(runningIn(wire) <= CAP, `${runningIn(wire)} running under a cap of ${CAP}`);
                }
            },
        ),
        { numRuns: Number(process.env["RUNS"] ?? 200), seed: Number(process.env["SEED"] ?? 1), endOnFailure: true },
    );
    assert.ok(mostRunning >= CAP - 2, `the cap is never approached: ${mostRunning}`);
});

test("a host of another region can use most of an idle region's permits", async () => {
    const wire = await startAll();
    const remote = wire.nodes.get("albany-0") as Node;
    for (let i = 0; i < 200; i++) {
        remote.start();
        wire.deliver(0);
        await settle();
        wire.now += 60;
        if (remote.running.length >= CAP - 2) {
            return;
        }
    }
    assert.fail(`only ${remote.running.length} of ${CAP}`);
});

test("a grant that arrives late starts no request once its window from the sending of the request has passed", async () => {
    const wire = await startAll();
    const remote = wire.nodes.get("albany-0") as Node;
    remote.start();
    wire.now += 1_500;
    wire.deliver(0);
    wire.deliver(0);
    await settle();
    assert.ok(remote.permits.hasPermit("perth"));
    wire.now += 600;
    assert.ok(!remote.permits.hasPermit("perth"), "the owner may have lent the permits to others by now");
    assert.equal(remote.permits.acquire("perth"), undefined);
});
