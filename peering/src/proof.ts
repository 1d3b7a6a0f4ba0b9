import { createHmac, timingSafeEqual } from "node:crypto";
import type { PeerIdentity } from "./peerMesh.js";

interface ProofInput {
    /** Side that makes the proof; a proof of one side is never valid for the other. */
    readonly side: "opener" | "acceptor";
    readonly openerNonce: Uint8Array;
    readonly acceptorNonce: Uint8Array;
    readonly identity: PeerIdentity;
}

/** Computes an HMAC that proves knowledge of a secret, bound to one connection and one identity. */
export function proofOf(secret: string, { side, openerNonce, acceptorNonce, identity }: ProofInput): Buffer {
    const { hostId, incarnation, availabilityZone, region } = identity;
    return createHmac("sha256", secret)
        .update(openerNonce)
        .update(acceptorNonce)
        .update(JSON.stringify([side, hostId, incarnation, availabilityZone, region]))
        .digest();
}

/** Returns the secret that the proof was made with, or `undefined` if none matches. */
export function findSecret(secrets: readonly string[], proof: Uint8Array, input: ProofInput): string | undefined {
    return secrets.find(secret => timingSafeEqual(proofOf(secret, input), proof));
}
