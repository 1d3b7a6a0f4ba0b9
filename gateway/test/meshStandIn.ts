import type { PeerHandler, PeerIdentity, PeerMesh, PeerMessage } from "@pistachioreel/peering";
import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";

/** Mesh in memory: messages reach the linked meshes at once. */
export class MeshStandIn implements PeerMesh {
    /** Whether requests of this host get no reply. */
    isSilent = false;
    /** Types of the requests that this host has sent. */
    readonly requested: string[] = [];
    readonly listed: string[] = [];
    private readonly handlers = new Map<string, PeerHandler>();
    private readonly linked = new Map<string, { mesh: MeshStandIn; isAccepted: boolean; }>();

    constructor(readonly self: PeerIdentity) {}

    /** Links two hosts; the first one opens the link. */
    static link(opener: MeshStandIn, acceptor: MeshStandIn): void {
        opener.linked.set(acceptor.self.hostId, { mesh: acceptor, isAccepted: false });
        acceptor.linked.set(opener.self.hostId, { mesh: opener, isAccepted: true });
    }

    unlink(hostId: string): void {
        this.linked.get(hostId)?.mesh.linked.delete(this.self.hostId);
        this.linked.delete(hostId);
    }

    hasOpenedLink(hostId: string): boolean {
        return this.linked.get(hostId)?.isAccepted ?? false;
    }

    unlinkedMs(): number {
        return 0;
    }

    setPeers(peers: readonly { readonly hostId: string; }[]): void {
        this.listed.splice(0, this.listed.length, ...peers.map(({ hostId }) => hostId));
    }

    peers(): readonly PeerIdentity[] {
        return [...this.linked.values()].map(({ mesh }) => mesh.self);
    }

    send(hostId: string, message: PeerMessage): boolean {
        void this.linked.get(hostId)?.mesh.handle(this.self, message);
        return this.linked.has(hostId);
    }

    async request(hostId: string, message: PeerMessage): Promise<Result<PeerMessage, Failure>> {
        this.requested.push(message.type);
        const reply = this.isSilent ? undefined : await this.linked.get(hostId)?.mesh.handle(this.self, message);
        return reply === undefined ? err(new Failure("peerUnreachable")) : ok(reply);
    }

    registerHandler(type: string, handler: PeerHandler): void {
        this.handlers.set(type, handler);
    }

    addHeartbeatPart(): void {}

    sendHeartbeats(): void {}

    onPeersChange(): void {}

    private async handle(from: PeerIdentity, message: PeerMessage): Promise<PeerMessage | undefined> {
        return await this.handlers.get(message.type)?.(from, message) ?? undefined;
    }
}
