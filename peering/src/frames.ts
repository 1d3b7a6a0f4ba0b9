import { Packr } from "msgpackr";
import { z } from "zod";

/** Size of a nonce, and of a proof (HMAC-SHA-256). */
const NONCE_BYTES = 32;

const bytesSchema = z.instanceof(Uint8Array).refine(bytes => bytes.length === NONCE_BYTES);
const identitySchema = z.object({
    hostId: z.string().min(1).max(63),
    incarnation: z.string().min(1).max(40),
    availabilityZone: z.string().min(1).max(63),
    region: z.string().min(1).max(63),
});
const messageSchema = z.looseObject({ type: z.string().max(40) });
const sequenceSchema = z.number().int().nonnegative();

/** Schemas of the frames of the handshake, in the order in which they are sent. */
export const handshakeSchemas = {
    /** From the host that accepts the connection. */
    challenge: z.object({ type: z.literal("challenge"), protocol: z.literal(1), nonce: bytesSchema }),
    /** From the host that opened the connection. */
    hello: z.object({
        type: z.literal("hello"),
        protocol: z.literal(1),
        nonce: bytesSchema,
        proof: bytesSchema,
        identity: identitySchema,
    }),
    welcome: z.object({ type: z.literal("welcome"), proof: bytesSchema, identity: identitySchema }),
};

/** Schema of the frames of an open link. Arrays keep heartbeats small. */
export const frameSchema = z.union([
    /** Heartbeat: sequence, newest sequence received from the other side, payloads by the name of their part. */
    z.tuple([z.literal("heartbeat"), sequenceSchema, sequenceSchema, z.record(z.string(), z.unknown())]),
    /** One-way message. */
    z.tuple([z.literal("message"), messageSchema]),
    z.tuple([z.literal("request"), sequenceSchema, messageSchema]),
    z.tuple([z.literal("answer"), sequenceSchema, messageSchema]),
    /** The other side cannot reply to a request. */
    z.tuple([z.literal("no-answer"), sequenceSchema]),
]);

export type Frame = z.infer<typeof frameSchema>;

/** Encodes and decodes frames as MessagePack. */
export const frameCodec = new Packr({ useRecords: false });
