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

/** Links to the other hosts of the fleet. Sending never blocks and never grows memory without bound. */
export interface PeerMesh {
    /** Peers with a link that works now. */
    peers(): readonly PeerIdentity[];
    /** Sends without an answer; false if there is no link or its queue is full. */
    send(hostId: string, message: PeerMessage): boolean;
    /** Sends and waits for the answer. Failures: `peerUnreachable`, `frameInvalid`. */
    request(hostId: string, message: PeerMessage, timeoutMs: number): Promise<Result<PeerMessage, Failure>>;
    /** Registers the handler of a message type; there is one for each type. */
    handle(type: string, handler: PeerHandler): void;
}
