import type { PeerHandler, PeerIdentity, PeerMesh, PeerMessage } from "@pistachioreel/peering";
import { z } from "zod";

interface FleetBroadcastOptions {
    readonly mesh: PeerMesh;
    readonly hostId: string;
    readonly incarnation: string;
    readonly availabilityZone: string;
    /** Whether this host passes messages on. */
    readonly isRelay: () => boolean;
}

const MESSAGE_TYPE = "broadcast";
/** Ids of recent messages, by which a message that arrives over two relays is recognized. */
const MAX_KNOWN_IDS = 4_096;

const broadcastSchema = z.object({
    id: z.string().max(200),
    message: z.looseObject({ type: z.string().max(40) }),
});

/**
 * Sends messages to all hosts through the relays: those of the sender's zone pass a message on to their zone and to the
 * relays of the other zones, which pass it on to theirs. Each host handles a message once. Delivery is not guaranteed.
 */
export class FleetBroadcast {
    private readonly handlers = new Map<string, PeerHandler>();
    private readonly knownIds = new Set<string>();
    private sequence = 0;

    constructor(private readonly opts: FleetBroadcastOptions) {
        opts.mesh.registerHandler(MESSAGE_TYPE, (from, message) => this.receive(from, message));
    }

    /** Registers the handler of a message type; each type has one. It is called with the host that passed the message on. */
    registerHandler(type: string, handler: PeerHandler): void {
        this.handlers.set(type, handler);
    }

    /** Sends a message to all other hosts. */
    send(message: PeerMessage): void {
        const { hostId, incarnation, mesh } = this.opts;
        const id = `${hostId} ${incarnation} ${++this.sequence}`;
        this.remember(id);
        this.forward(mesh.peers(), id, message);
    }

    private async receive(from: PeerIdentity, received: PeerMessage): Promise<void> {
        const parsed = broadcastSchema.safeParse(received);
        if (!parsed.success || this.knownIds.has(parsed.data.id)) {
            return;
        }
        const { id, message } = parsed.data;
        this.remember(id);
        if (this.opts.isRelay()) {
            const isFromOwnZone = from.availabilityZone === this.opts.availabilityZone;
            const receivers = this.opts.mesh.peers().filter(({ hostId, availabilityZone }) =>
                hostId !== from.hostId && (isFromOwnZone || availabilityZone === this.opts.availabilityZone)
            );
            this.forward(receivers, id, message);
        }
        await this.handlers.get(message.type)?.(from, message);
    }

    private forward(receivers: readonly PeerIdentity[], id: string, message: PeerMessage): void {
        receivers.forEach(({ hostId }) => this.opts.mesh.send(hostId, { type: MESSAGE_TYPE, id, message }));
    }

    private remember(id: string): void {
        this.knownIds.add(id);
        const oldest = this.knownIds.values().next().value;
        if (this.knownIds.size > MAX_KNOWN_IDS && oldest !== undefined) {
            this.knownIds.delete(oldest);
        }
    }
}
