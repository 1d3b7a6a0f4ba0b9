import type { Failure } from "@pistachioreel/result-code";
import type { Result } from "neverthrow";

/** A host at the other end of a link that has proved that it belongs to the fleet. */
export interface PeerIdentity {
    readonly hostId: string;
    /** Start of the process; a later start of the same host id replaces an earlier one. */
    readonly incarnation: string;
    readonly availabilityZone: string;
    readonly region: string;
}

/** Message between hosts. Receivers check it against a schema of its type before they use it. */
export interface PeerMessage {
    readonly type: string;
    readonly [field: string]: unknown;
}

/** Handles messages of one type; what it returns answers a request. */
export type PeerHandler = (
    from: PeerIdentity,
    message: PeerMessage,
) => PeerMessage | void | Promise<PeerMessage | void>;

/** Part of each heartbeat that belongs to one package. */
export interface HeartbeatPart {
    /**
     * What the next heartbeat says; it must be small, as it is sent to every peer twice a second. `undefined` leaves the
     * part out.
     */
    payload(): unknown;
    /**
     * Takes the payload of a peer, which the receiver checks against its schema.
     *
     * @param probedAt Monotonic time in ms of the newest own heartbeat that the peer had received when it made the
     *     payload, so the payload is at most `now - probedAt` old; `undefined` if the peer has received none yet.
     */
    receive(from: PeerIdentity, payload: unknown, probedAt: number | undefined): void;
}

/** Links to the other hosts of the fleet. Sending never blocks and never grows memory without bound. */
export interface PeerMesh {
    /** Peers with a link that works now. */
    peers(): readonly PeerIdentity[];
    /** Sends without an answer; false if there is no link or its queue is full. */
    send(hostId: string, message: PeerMessage): boolean;
    /** Sends and waits for the answer. Failures: `peerUnreachable`, `frameInvalid`. */
    request(hostId: string, message: PeerMessage, timeoutMs: number): Promise<Result<PeerMessage, Failure>>;
    /** Registers the handler of a message type; there is one for each type. */
    registerHandler(type: string, handler: PeerHandler): void;
    /** Adds a part to all heartbeats; there is one of each name. */
    addHeartbeatPart(name: string, part: HeartbeatPart): void;
    /** Sends a heartbeat to all peers now instead of at the next interval. */
    sendHeartbeats(): void;
    /** Registers a function that is called when a link to a peer opens or closes. */
    onPeersChange(listener: () => void): void;
}
