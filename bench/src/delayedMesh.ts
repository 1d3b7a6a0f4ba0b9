import type { HeartbeatPart, PeerHandler, PeerIdentity, PeerMesh, PeerMessage } from "@pistachioreel/peering";
import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { setTimeout as sleep } from "node:timers/promises";

const INTRA_REGION_DELAY_MS = 1;
const INTER_REGION_DELAY_MS = 15;
const HEARTBEAT_INTERVAL_MS = 500;

/** Peer mesh for simulated hosts in one process. It delays messages each way as the networks of the deployments do. */
export class DelayedMesh implements PeerMesh {
    private readonly handlers = new Map<string, PeerHandler>();
    private readonly parts = new Map<string, HeartbeatPart>();
    private readonly timer = setInterval(() => this.sendHeartbeats(), HEARTBEAT_INTERVAL_MS);

    constructor(private readonly self: PeerIdentity, private readonly meshes: Map<string, DelayedMesh>) {
        meshes.set(self.hostId, this);
    }

    close(): void {
        clearInterval(this.timer);
        this.meshes.delete(this.self.hostId);
    }

    peers(): PeerIdentity[] {
        return [...this.meshes.values()].filter(mesh => mesh !== this).map(mesh => mesh.self);
    }

    send(hostId: string, message: PeerMessage): boolean {
        void this.request(hostId, message);
        return true;
    }

    async request(hostId: string, message: PeerMessage): Promise<Result<PeerMessage, Failure>> {
        const delayMs = this.delayTo(hostId);
        await sleep(delayMs);
        const reply = await this.meshes.get(hostId)?.handlers.get(message.type)?.(this.self, message);
        await sleep(delayMs);
        return reply === undefined ? err(new Failure("peerUnreachable")) : ok(reply);
    }

    registerHandler(type: string, handler: PeerHandler): void {
        this.handlers.set(type, handler);
    }

    addHeartbeatPart(name: string, part: HeartbeatPart): void {
        this.parts.set(name, part);
    }

    sendHeartbeats(): void {
        const sentAt = performance.now();
        for (const peer of this.peers()) {
            const { hostId } = peer;
            for (const [name, part] of this.parts) {
                const payload = part.payload(peer);
                const deliver = () => this.meshes.get(hostId)?.parts.get(name)?.receive(this.self, payload, sentAt);
                setTimeout(deliver, this.delayTo(hostId));
            }
        }
    }

    onPeersChange(): void {}

    private delayTo(hostId: string): number {
        return this.meshes.get(hostId)?.self.region === this.self.region
            ? INTRA_REGION_DELAY_MS
            : INTER_REGION_DELAY_MS;
    }
}
