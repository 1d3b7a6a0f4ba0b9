import type { Failure } from "@pistachioreel/result-code";
import { GrowingBuffer } from "@pistachioreel/runtime";
import type { Result } from "neverthrow";
import { z } from "zod";
import type { DocumentName } from "./documentName.js";
import { type FleetDocument, fleetDocumentSchema } from "./fleetDocument.js";

interface DocumentPeers {
    /** Sends a message to a host and resolves with its reply. */
    request(hostId: string, message: PeerMessage, timeoutMs: number): Promise<Result<PeerMessage, Failure>>;
}

interface PeerMessage {
    readonly type: string;
    readonly [field: string]: unknown;
}

interface DocumentReplicatorOptions {
    readonly peers: DocumentPeers;
    /** Returns the newest version that this host has; `undefined` if it has none. */
    readonly documentOf: (name: DocumentName) => FleetDocument | undefined;
    /** Puts a completely received document into force if it is newer than this host's. */
    readonly applyIfNewer: (document: FleetDocument) => Result<boolean, Failure>;
}

interface VersionOffer {
    readonly hostId: string;
    readonly version: number;
}

const { name: nameSchema } = fleetDocumentSchema.shape;
const pullSchema = z.object({ name: nameSchema, version: z.number(), offset: z.number().int().nonnegative() });
const chunkSchema = fleetDocumentSchema.omit({ content: true }).extend({
    /** Size of the complete content in bytes. */
    size: z.number().int().nonnegative(),
    bytes: z.instanceof(Uint8Array),
});

/** Small enough for the send queue of a connection between hosts to hold two chunks. */
const CHUNK_BYTES = 96 * 1024;
/** All chunks but the last one have at least this size. */
const MIN_CHUNK_BYTES = 1024;
const MAX_DOCUMENT_BYTES = 64 * 1024 * 1024;
const PULL_TIMEOUT_MS = 1_500;

/** Replicates documents between hosts: heartbeats announce versions, and a host pulls newer ones from its peers. */
export class DocumentReplicator {
    private readonly offers = new Map<DocumentName, VersionOffer>();
    private readonly pullsInProgress = new Set<DocumentName>();
    private readonly encodedContents = new Map<DocumentName, { readonly version: number; readonly bytes: Buffer; }>();

    constructor(private readonly opts: DocumentReplicatorOptions) {}

    /** Handles the document versions that a peer announces and pulls those that are newer than this host's. */
    handleVersions(hostId: string, versions: Readonly<Record<string, number>>): void {
        for (const [key, version] of Object.entries(versions)) {
            const name = nameSchema.safeParse(key);
            if (name.success && version > this.versionOf(name.data)) {
                this.addOffer(name.data, { hostId, version });
            }
        }
    }

    /**
     * Handles a `pull` request from a peer.
     *
     * @returns The requested chunk of the document; `undefined` if the message is invalid or this host has no version
     *     that is at least as new as the requested one.
     */
    handlePull(message: PeerMessage): PeerMessage | undefined {
        const pull = pullSchema.safeParse(message);
        const document = pull.success ? this.opts.documentOf(pull.data.name) : undefined;
        if (!pull.success || document === undefined || document.version < pull.data.version) {
            return undefined;
        }
        const { name, version, digest } = document;
        const bytes = this.encode(document);
        const { offset } = pull.data;
        const chunk = bytes.subarray(offset, offset + CHUNK_BYTES);
        return { type: "document", name, version, digest, size: bytes.length, bytes: chunk };
    }

    private addOffer(name: DocumentName, offer: VersionOffer): void {
        if (offer.version > (this.offers.get(name)?.version ?? 0)) {
            this.offers.set(name, offer);
        }
        if (!this.pullsInProgress.has(name)) {
            this.pullsInProgress.add(name);
            void this.pullOffers(name).finally(() => this.pullsInProgress.delete(name));
        }
    }

    /** Pulls until no newer version is on offer. A failed offer is dropped, as the next heartbeat repeats it. */
    private async pullOffers(name: DocumentName): Promise<void> {
        for (let offer = this.offers.get(name); offer !== undefined; offer = this.offers.get(name)) {
            if (offer.version > this.versionOf(name)) {
                const document = await this.pull(name, offer);
                if (document !== undefined) {
                    this.opts.applyIfNewer(document);
                }
            }
            if (this.offers.get(name) === offer) {
                this.offers.delete(name);
            }
        }
    }

    /**
     * Pulls a complete document; `undefined` if the peer fails, its version changes between two chunks, or it would take too many
     * chunks or too much memory.
     */
    private async pull(name: DocumentName, { hostId, version }: VersionOffer): Promise<FleetDocument | undefined> {
        const content = new GrowingBuffer();
        for (let size = 1, pulledVersion = version; content.size < size;) {
            const message = { type: "pull", name, version: pulledVersion, offset: content.size };
            const reply = await this.opts.peers.request(hostId, message, PULL_TIMEOUT_MS);
            const chunk = reply.isOk() ? chunkSchema.safeParse(reply.value).data : undefined;
            if (chunk === undefined || chunk.name !== name || (content.size > 0 && chunk.version !== pulledVersion)) {
                return undefined;
            }
            content.append(chunk.bytes);
            size = chunk.size;
            pulledVersion = chunk.version;
            if (content.size >= size) {
                return { name, version: pulledVersion, digest: chunk.digest, content: content.bytes.toString() };
            }
            if (chunk.bytes.length < MIN_CHUNK_BYTES || size > MAX_DOCUMENT_BYTES) {
                return undefined;
            }
        }
        return undefined;
    }

    /** Returns the content as UTF-8, cached for the latest version because each chunk of a pull needs it. */
    private encode({ name, version, content }: FleetDocument): Buffer {
        const cached = this.encodedContents.get(name);
        if (cached?.version === version) {
            return cached.bytes;
        }
        const bytes = Buffer.from(content);
        this.encodedContents.set(name, { version, bytes });
        return bytes;
    }

    private versionOf(name: DocumentName): number {
        return this.opts.documentOf(name)?.version ?? 0;
    }
}
