import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { randomBytes } from "node:crypto";
import { handshakeSchemas } from "./frames.js";
import type { FrameSocket } from "./frameSocket.js";
import type { PeerIdentity } from "./peerMesh.js";
import { findSecret, proofOf } from "./proof.js";

interface HandshakeOptions {
    readonly identity: PeerIdentity;
    /** The first is offered, all are accepted. */
    readonly secrets: readonly [string, ...string[]];
}

const NONCE_BYTES = 32;
const TIMEOUT_MS = 2_000;

/** Proves both sides of a new connection to each other. Failures: `peerRejected`, `frameInvalid`, `peerUnreachable`. */
export async function handshake(
    socket: FrameSocket,
    side: "opener" | "acceptor",
    opts: HandshakeOptions,
): Promise<Result<PeerIdentity, Failure>> {
    const timer = setTimeout(() => socket.terminate(), TIMEOUT_MS);
    const identity = await (side === "opener" ? open(socket, opts) : accept(socket, opts));
    clearTimeout(timer);
    return identity;
}

async function open(socket: FrameSocket, opts: HandshakeOptions): Promise<Result<PeerIdentity, Failure>> {
    const challenge = await socket.receive(handshakeSchemas.challenge);
    if (challenge.isErr() || challenge.value === undefined) {
        return err(rejected(challenge));
    }
    const { identity, secrets } = opts;
    const nonces = { openerNonce: randomBytes(NONCE_BYTES), acceptorNonce: challenge.value.nonce };
    const proof = proofOf(secrets[0], { side: "opener", ...nonces, identity });
    socket.send({ type: "hello", protocol: 1, nonce: nonces.openerNonce, proof, identity });
    const welcome = await socket.receive(handshakeSchemas.welcome);
    if (welcome.isErr() || welcome.value === undefined) {
        return err(rejected(welcome));
    }
    const { proof: theirProof, identity: theirs } = welcome.value;
    const isProved = findSecret(secrets, theirProof, { side: "acceptor", ...nonces, identity: theirs }) !== undefined;
    return isProved ? ok(theirs) : err(new Failure("peerRejected"));
}

async function accept(socket: FrameSocket, opts: HandshakeOptions): Promise<Result<PeerIdentity, Failure>> {
    const acceptorNonce = randomBytes(NONCE_BYTES);
    socket.send({ type: "challenge", protocol: 1, nonce: acceptorNonce });
    const hello = await socket.receive(handshakeSchemas.hello);
    if (hello.isErr() || hello.value === undefined) {
        return err(rejected(hello));
    }
    const { nonce: openerNonce, proof, identity: theirs } = hello.value;
    const nonces = { openerNonce, acceptorNonce };
    const secret = findSecret(opts.secrets, proof, { side: "opener", ...nonces, identity: theirs });
    if (secret === undefined) {
        return err(new Failure("peerRejected"));
    }
    const { identity } = opts;
    socket.send({ type: "welcome", proof: proofOf(secret, { side: "acceptor", ...nonces, identity }), identity });
    return ok(theirs);
}

function rejected(received: Result<unknown, Failure>): Failure {
    return received.isErr() ? received.error : new Failure("peerUnreachable", "the connection closed in the handshake");
}
