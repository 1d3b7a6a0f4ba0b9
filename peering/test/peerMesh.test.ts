import { PartitionableFleet } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { after, afterEach, before, test } from "node:test";
import { WebSocket } from "ws";
import { frameCodec } from "../src/frames.js";

const PEERS_PORT = 7003;
const LINKS = [2, 2, 2, 0];
let partitionableFleet: PartitionableFleet;

interface PeerStatus {
    readonly incarnation: string;
    readonly peers: readonly { readonly hostId: string; readonly incarnation: string; }[];
}

before(async () => {
    partitionableFleet = await PartitionableFleet.start({
        zones: ["tbilisi-a", "tbilisi-a", "tbilisi-a", "tbilisi-a"],
        // The second host knows one more secret, as in a rotation; the fourth knows only another one.
        settings: (settings, index) => {
            const shared = settings.peers.secrets[0] as string;
            const other = "another-shared-secret-for-tests";
            const secrets = [[shared], [shared, other], [shared], ["a-secret-of-nobody-else"]][index] as string[];
            return { ...settings, peers: { ...settings.peers, secrets } };
        },
    });
    await waitForLinks(LINKS);
});

afterEach(async () => {
    partitionableFleet.heal();
    await waitForLinks(LINKS);
});

after(() => partitionableFleet?.stop());

function waitForLinks(expected: readonly number[]): Promise<number> {
    return partitionableFleet.waitForAll<PeerStatus>(
        `links ${expected.join(" ")}`,
        ({ peers }, index) => peers.length === expected[index],
    );
}

function lostLinks(host: number): number {
    return partitionableFleet.fleet.hosts[host]?.lines.filter(line => line.includes("event=peer-lost")).length ?? 0;
}

test("a client without the secret receives only a challenge", async () => {
    const nonce = new Uint8Array(32);
    const identity = { hostId: "host-1", incarnation: "9", availabilityZone: "tbilisi-a", region: "tbilisi" };
    const forgedFrames = [
        { type: "hello", protocol: 1, nonce, proof: nonce, identity },
        ["heartbeat", 1, 0, {}],
        ["request", 1, { type: "pull", name: "keys" }],
    ];
    for (const forgedFrame of forgedFrames) {
        const client = new WebSocket(`ws://${partitionableFleet.fleet.network.address(1, 0)}:${PEERS_PORT}`);
        const frames: { type: string; }[] = [];
        client.on("message", (bytes: Buffer) => frames.push(frameCodec.unpack(bytes) as { type: string; }));
        await new Promise(resolve => client.once("message", resolve));
        client.send(frameCodec.pack(forgedFrame));
        await new Promise(resolve => client.once("close", resolve));
        assert.deepEqual(frames.map(({ type }) => type), ["challenge"]);
    }
});

for (const mode of ["silent", "silent-to-client", "silent-to-server"] as const) {
    test(`both sides notice by missing acknowledgements that a link goes ${mode}`, async () => {
        partitionableFleet.setPeerFault((opener, acceptor) =>
            opener === 0 || acceptor === 0 ? { mode } : { mode: "pass" }
        );
        const noticedMs = await waitForLinks([0, 1, 1, 0]);
        process.stdout.write(`${mode}: noticed after ${Math.round(noticedMs)} ms\n`);
        // Three unacknowledged heartbeats (1.5 s) and the interval until the next check, twice if one side is first.
        assert.ok(noticedMs < 3_000, `noticed after ${noticedMs} ms`);
    });
}

test("open connections that go silent permanently are replaced by new ones", async () => {
    const lostBefore = lostLinks(0);
    partitionableFleet.silenceOpenLinks();
    await partitionableFleet.waitForAll("both silent links are closed", () => lostLinks(0) >= lostBefore + 2, {
        hosts: [0],
    });
    await waitForLinks(LINKS);
});

test("hosts link even if only one of the two can open connections", async () => {
    partitionableFleet.setPeerFault((opener, acceptor) => opener < acceptor ? { mode: "refuse" } : { mode: "pass" });
    await waitForLinks(LINKS);
    await new Promise(resolve => setTimeout(resolve, 2_000));
    assert.equal((await partitionableFleet.status<PeerStatus>(0)).peers.length, 2);
});

test("a restarted host replaces its earlier incarnation", async () => {
    const { incarnation } = await partitionableFleet.status<PeerStatus>(2);
    await partitionableFleet.fleet.hosts[2]?.end("SIGKILL");
    await partitionableFleet.fleet.startHost(2);
    await partitionableFleet.waitForAll<PeerStatus>("host-2 is linked under a later incarnation", ({ peers }) => {
        const seen = peers.find(({ hostId }) => hostId === "host-2")?.incarnation ?? "";
        return seen > incarnation;
    }, { hosts: [0, 1] });
});
