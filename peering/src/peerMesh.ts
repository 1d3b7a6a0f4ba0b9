import type { Failure } from "@pistachioreel/result-code";
import type { Result } from "neverthrow";

/** Identity of a process of a host; that of a peer is authenticated when the link opens. */
export interface PeerIdentity {
    readonly hostId: string;
    /** Id of the process's run; a later run of the same host id replaces an earlier one. */
    readonly incarnation: string;
    readonly availabilityZone: string;
    readonly region: string;
}

/** Message between hosts. Receivers must validate it against the schema of its type. */
export interface PeerMessage {
    readonly type: string;
    readonly [field: string]: unknown;
}

/** Handles messages of one type. Its return value is the reply to a request. */
export type PeerHandler = (
    from: PeerIdentity,
    message: PeerMessage,
) => PeerMessage | void | Promise<PeerMessage | void>;

/** Part of each heartbeat whose content belongs to one package. */
export interface HeartbeatPart {
    /**
     * Returns the payload for the next heartbeat to a peer, or `undefined` to omit the part. It must be small, as it is
     * sent to every peer twice a second.
     */
    payload(to: PeerIdentity): unknown;
    /**
     * Handles the payload of a peer, which the implementation must validate.
     *
     * @param probedAt Monotonic time in ms at which this host sent the newest heartbeat that the peer had received
     *     when it made the payload, so the payload is at most `now - probedAt` old; `undefined` if there was none.
     */
    receive(from: PeerIdentity, payload: unknown, probedAt: number | undefined): void;
}

/** Links to the other hosts of the fleet. Sending never blocks, and its queues are bounded. */
export interface PeerMesh {
    /** Peers with an open link. */
    peers(): readonly PeerIdentity[];
    /** Sends a one-way message. Returns false if there is no link or its queue is full. */
    send(hostId: string, message: PeerMessage): boolean;
    /** Sends a request and waits for the reply. Failure: `peerUnreachable`. */
    request(hostId: string, message: PeerMessage, timeoutMs: number): Promise<Result<PeerMessage, Failure>>;
    /** Registers the handler of a message type; each type has one handler. */
    registerHandler(type: string, handler: PeerHandler): void;
    /** Adds a part to all heartbeats; each name has one part. */
    addHeartbeatPart(name: string, part: HeartbeatPart): void;
    /** Sends a heartbeat to all peers now instead of at the next interval. */
    sendHeartbeats(): void;
    /** Registers a function that is called when a link to a peer opens or closes. */
    onPeersChange(listener: () => void): void;
}
