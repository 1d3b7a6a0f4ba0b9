import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { randomBytes } from "node:crypto";
import { handshakeSchemas } from "./frames.js";
import type { FrameSocket } from "./frameSocket.js";
import type { PeerIdentity } from "./peerMesh.js";
import { findSecret, proofOf } from "./proof.js";

interface HandshakeOptions {
    readonly identity: PeerIdentity;
    /** Shared secrets: the first is used for this host's proof, all are accepted from the peer. */
    readonly secrets: readonly [string, ...string[]];
}

const NONCE_BYTES = 32;
const HANDSHAKE_TIMEOUT_MS = 2_000;

/** Authenticates both sides of a new connection. Failures: `peerRejected`, `frameInvalid`, `peerUnreachable`. */
export async function handshake(
    socket: FrameSocket,
    side: "opener" | "acceptor",
    opts: HandshakeOptions,
): Promise<Result<PeerIdentity, Failure>> {
    const timer = setTimeout(() => socket.terminate(), HANDSHAKE_TIMEOUT_MS);
    const identity = await (side === "opener" ? handshakeAsOpener(socket, opts) : handshakeAsAcceptor(socket, opts));
    clearTimeout(timer);
    return identity;
}

async function handshakeAsOpener(socket: FrameSocket, opts: HandshakeOptions): Promise<Result<PeerIdentity, Failure>> {
    const challenge = await socket.receive(handshakeSchemas.challenge);
    if (challenge.isErr() || challenge.value === undefined) {
        return err(failureOf(challenge));
    }
    const { identity, secrets } = opts;
    const nonces = { openerNonce: randomBytes(NONCE_BYTES), acceptorNonce: challenge.value.nonce };
    const proof = proofOf(secrets[0], { side: "opener", ...nonces, identity });
    socket.send({ type: "hello", protocol: 1, nonce: nonces.openerNonce, proof, identity });
    const welcome = await socket.receive(handshakeSchemas.welcome);
    if (welcome.isErr() || welcome.value === undefined) {
        return err(failureOf(welcome));
    }
    const { proof: peerProof, identity: peerIdentity } = welcome.value;
    const isProved =
        findSecret(secrets, peerProof, { side: "acceptor", ...nonces, identity: peerIdentity }) !== undefined;
    return isProved ? ok(peerIdentity) : err(new Failure("peerRejected"));
}

async function handshakeAsAcceptor(
    socket: FrameSocket,
    opts: HandshakeOptions,
): Promise<Result<PeerIdentity, Failure>> {
    const acceptorNonce = randomBytes(NONCE_BYTES);
    socket.send({ type: "challenge", protocol: 1, nonce: acceptorNonce });
    const hello = await socket.receive(handshakeSchemas.hello);
    if (hello.isErr() || hello.value === undefined) {
        return err(failureOf(hello));
    }
    const { nonce: openerNonce, proof, identity: peerIdentity } = hello.value;
    const nonces = { openerNonce, acceptorNonce };
    const secret = findSecret(opts.secrets, proof, { side: "opener", ...nonces, identity: peerIdentity });
    if (secret === undefined) {
        return err(new Failure("peerRejected"));
    }
    const { identity } = opts;
    socket.send({ type: "welcome", proof: proofOf(secret, { side: "acceptor", ...nonces, identity }), identity });
    return ok(peerIdentity);
}

function failureOf(received: Result<unknown, Failure>): Failure {
    return received.isErr()
        ? received.error
        : new Failure("peerUnreachable", "the connection closed during the handshake");
}
