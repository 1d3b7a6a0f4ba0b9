import { Failure } from "@pistachioreel/result-code";
import { err, type Result } from "neverthrow";
import { once, setMaxListeners } from "node:events";
import { createServer, type RequestListener, type Server } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { WebSocket, WebSocketServer } from "ws";
import { FrameSocket } from "./frameSocket.js";
import { handshake } from "./handshake.js";
import type { LinkTraffic } from "./linkTraffic.js";
import { PeerLink } from "./peerLink.js";
import type { HeartbeatPart, PeerHandler, PeerIdentity, PeerMesh, PeerMessage } from "./peerMesh.js";

interface KnownPeer {
    readonly hostId: string;
    /** `address:port` of its listener for other hosts. */
    readonly address: string;
    /**
     * Whether only this host may open the link, because the other one does not list it. By default both may, and the
     * host with the higher id waits for the other.
     */
    readonly isOnlyOpener?: boolean;
}

type MeshEvent = "peer-linked" | "peer-lost" | "peer-rejected" | "peer-message-failed";

interface WebSocketMeshOptions {
    readonly identity: PeerIdentity;
    readonly address: string;
    readonly port: number;
    /** Shared secrets: the first is used for this host's proofs, all are accepted from peers. */
    readonly secrets: readonly string[];
    /** Monotonic time in ms. */
    readonly now: () => number;
    /** Whether links that this host has opened are closed when their host is no longer listed; `false` by default. */
    readonly closesUnlistedLinks?: boolean;
    /** Handles HTTP requests that open no link; without it, they are answered with status 426. */
    readonly onRequest?: RequestListener;
    /** Called when a link has opened, closed or been rejected, or when the handler of a peer's message has failed. */
    readonly onEvent?: (event: MeshEvent, fields: Record<string, string>) => void;
}

/** A frame can carry a whole object of the store, of at most 1 MB. */
const MAX_FRAME_BYTES = 1536 * 1024;
const MAX_UNAUTHENTICATED_CONNECTIONS = 256;
const OPEN_TIMEOUT_MS = 2_000;
const MIN_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 3_000;
/** The host with the higher id opens a link only if the other has not done so within this time. */
const SECOND_OPENER_DELAY_MS = 1_000;
const LINK_CHECK_INTERVAL_MS = 2_000;
/** Default delay after the start before seeds are used, as the store usually lists the other hosts sooner. */
const SEED_START_DELAY_MS = 700;
const MIN_SEED_RETRY_MS = 1_500;
/** A link to a host that is no longer listed stays open for this time, as it may be listed again soon. */
const UNLISTED_LINK_GRACE_MS = 3_000;
const MIN_HEARTBEAT_INTERVAL_MS = 500;
/** Limits a host to 40 regular heartbeats a second, regardless of its number of links. */
const HEARTBEAT_INTERVAL_MS_PER_LINK = 25;

/** WebSocket links to the listed hosts and to the hosts that list this one, one link for each pair of hosts. */
export class WebSocketMesh implements PeerMesh {
    readonly traffic: LinkTraffic = { sentFrames: 0, sentBytes: 0, receivedBytes: 0, dropped: 0 };
    private readonly links = new Map<string, PeerLink>();
    private readonly listedPeers = new Map<string, KnownPeer>();
    /** Monotonic time in ms since when a listed host has no link. */
    private readonly unlinkedSince = new Map<string, number>();
    /** Monotonic time in ms since when a linked host is not listed. */
    private readonly unlistedSince = new Map<string, number>();
    private readonly linkTasks = new Set<string>();
    private readonly handlers = new Map<string, PeerHandler>();
    private readonly parts = new Map<string, HeartbeatPart>();
    private readonly listeners: (() => void)[] = [];
    private readonly stopController = new AbortController();
    private server: WebSocketServer | undefined;
    private readonly httpServer: Server;
    private unauthenticatedCount = 0;

    constructor(private readonly opts: WebSocketMeshOptions) {
        // The task of each peer adds listeners to the signal.
        setMaxListeners(Infinity, this.stopController.signal);
        this.httpServer = createServer(opts.onRequest ?? ((_request, response) => response.writeHead(426).end()));
    }

    /** Opens the listener. Rejects if its address is in use. */
    async start(): Promise<void> {
        const { address: host, port } = this.opts;
        const { httpServer: server } = this;
        this.server = new WebSocketServer({ server, maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false });
        this.server.on("connection", socket => void this.accept(socket));
        const listening = once(server, "listening");
        server.listen(port, host);
        await listening;
        void this.runHeartbeats();
    }

    /** Closes the listener and all links. */
    stop(): void {
        this.stopController.abort();
        this.server?.close();
        this.server?.clients.forEach(client => client.terminate());
        this.httpServer.close();
        this.httpServer.closeAllConnections();
        [...this.links.values()].forEach(link => link.close());
    }

    /** Sets the hosts to maintain links with. */
    setPeers(peers: readonly KnownPeer[]): void {
        this.listedPeers.clear();
        for (const peer of peers) {
            const { hostId } = peer;
            if (hostId === this.opts.identity.hostId) {
                continue;
            }
            this.listedPeers.set(hostId, peer);
            if (!this.unlinkedSince.has(hostId)) {
                this.setUnlinked(hostId);
            }
            if (!this.linkTasks.has(hostId)) {
                this.linkTasks.add(hostId);
                void this.maintainLink(hostId);
            }
        }
        [...this.unlinkedSince.keys()].filter(id => !this.listedPeers.has(id))
            .forEach(id => this.unlinkedSince.delete(id));
    }

    /** Connects to hosts that are known by address only, whenever this host has no link, until the mesh stops. */
    async connectToSeeds(addresses: readonly string[], { startDelayMs = SEED_START_DELAY_MS } = {}): Promise<void> {
        const { signal } = this.stopController;
        const others = addresses.filter(address => address !== `${this.opts.address}:${this.opts.port}`);
        await sleep(startDelayMs, undefined, { signal }).catch(() => undefined);
        while (!signal.aborted && others.length > 0) {
            if (this.links.size === 0) {
                others.forEach(address => void this.open(address));
            }
            await sleep(MIN_SEED_RETRY_MS * (1 + Math.random()), undefined, { signal }).catch(() => undefined);
        }
    }

    /** Time for which a listed host has had no link, in ms; 0 if it is linked or not listed. */
    unlinkedMs(hostId: string): number {
        const since = this.unlinkedSince.get(hostId);
        return since === undefined ? 0 : this.opts.now() - since;
    }

    peers(): readonly PeerIdentity[] {
        return [...this.links.values()].filter(link => link.isOpen).map(link => link.peer);
    }

    /** Whether the other host has opened the link to it. */
    hasOpenedLink(hostId: string): boolean {
        return this.links.get(hostId)?.side === "acceptor";
    }

    send(hostId: string, message: PeerMessage): boolean {
        return this.links.get(hostId)?.send(message) ?? false;
    }

    async request(hostId: string, message: PeerMessage, timeoutMs: number): Promise<Result<PeerMessage, Failure>> {
        const link = this.links.get(hostId);
        return link?.request(message, timeoutMs) ?? err(new Failure("peerUnreachable", `no link to ${hostId}`));
    }

    registerHandler(type: string, handler: PeerHandler): void {
        this.handlers.set(type, handler);
    }

    addHeartbeatPart(name: string, part: HeartbeatPart): void {
        this.parts.set(name, part);
    }

    sendHeartbeats(): void {
        this.links.forEach(link => link.sendHeartbeat());
    }

    /** Sends a heartbeat to one peer now. */
    sendHeartbeat(hostId: string): void {
        this.links.get(hostId)?.sendHeartbeat();
    }

    onPeersChange(listener: () => void): void {
        this.listeners.push(listener);
    }

    /** Time between two regular heartbeats of a link, in ms. */
    private get heartbeatIntervalMs(): number {
        return Math.max(MIN_HEARTBEAT_INTERVAL_MS, HEARTBEAT_INTERVAL_MS_PER_LINK * this.links.size);
    }

    /**
     * Sends the heartbeats of all links and closes silent links. One timer for all links wakes the process less often
     * than one per link.
     */
    private async runHeartbeats(): Promise<void> {
        const { signal } = this.stopController;
        while (!signal.aborted) {
            const intervalMs = this.heartbeatIntervalMs;
            this.links.forEach(link => link.sendHeartbeatIfDue(intervalMs));
            await sleep(intervalMs / 2, undefined, { signal }).catch(() => undefined);
            // After a pause of this process, acknowledgements are still unread; they are read before links are closed.
            await new Promise(resolve => setImmediate(resolve));
            await new Promise(resolve => setImmediate(resolve));
            this.links.forEach(link => link.closeIfSilent(intervalMs));
            this.closeUnlistedLinks();
        }
    }

    /** Task of one peer: opens a link whenever there is none, until the peer is no longer listed. */
    private async maintainLink(hostId: string): Promise<void> {
        const { signal } = this.stopController;
        let failures = 0;
        for (;;) {
            const peer = this.listedPeers.get(hostId);
            if (signal.aborted || peer === undefined) {
                break;
            }
            const isSecondOpener = !peer.isOnlyOpener && this.opts.identity.hostId > hostId;
            const shouldOpen = !this.links.has(hostId) && (!isSecondOpener || failures > 0);
            const wasLinked = shouldOpen && await this.open(peer.address, hostId);
            failures = this.links.has(hostId) || wasLinked ? 0 : failures + 1;
            await sleep(
                this.links.has(hostId) ? LINK_CHECK_INTERVAL_MS : retryDelayMs(failures, isSecondOpener),
                undefined,
                { signal },
            ).catch(() => undefined);
        }
        this.linkTasks.delete(hostId);
    }

    /** Opens a connection and runs it until it closes. Returns whether it became a link. */
    private async open(address: string, hostId?: string): Promise<boolean> {
        const socket = new WebSocket(`ws://${address}`, {
            localAddress: this.opts.address,
            handshakeTimeout: OPEN_TIMEOUT_MS,
            maxPayload: MAX_FRAME_BYTES,
            perMessageDeflate: false,
        });
        return this.runConnection(socket, "opener", hostId);
    }

    private async accept(socket: WebSocket): Promise<void> {
        if (this.unauthenticatedCount >= MAX_UNAUTHENTICATED_CONNECTIONS || this.stopController.signal.aborted) {
            socket.terminate();
            return;
        }
        this.unauthenticatedCount++;
        await this.runConnection(socket, "acceptor", undefined);
    }

    private async runConnection(
        socket: WebSocket,
        side: "opener" | "acceptor",
        expectedHostId: string | undefined,
    ): Promise<boolean> {
        const { identity, secrets, now } = this.opts;
        const frameSocket = new FrameSocket(socket, this.traffic);
        const authenticated = await handshake(frameSocket, side, {
            identity,
            secrets: secrets as [string, ...string[]],
        });
        this.unauthenticatedCount -= side === "acceptor" ? 1 : 0;
        if (authenticated.isErr() || !this.isAcceptable(authenticated.value, expectedHostId)) {
            frameSocket.terminate();
            const code = authenticated.isErr() ? authenticated.error.code : "peerRejected";
            if (code !== "peerUnreachable") {
                this.opts.onEvent?.("peer-rejected", { peer: expectedHostId ?? "", reason: code });
            }
            return false;
        }
        const { handlers, parts } = this;
        const peer = authenticated.value;
        const onFailure = (type: string, cause: unknown) =>
            this.opts.onEvent?.("peer-message-failed", { peer: peer.hostId, type, reason: String(cause) });
        const link = new PeerLink({ peer, side, socket: frameSocket, handlers, parts, onFailure, now });
        await this.serve(link);
        return true;
    }

    /** Runs a link until it closes. It replaces an earlier link to the same host, which may be half open. */
    private async serve(link: PeerLink): Promise<void> {
        const { hostId } = link.peer;
        this.links.get(hostId)?.close();
        this.links.set(hostId, link);
        this.unlinkedSince.delete(hostId);
        this.notify("peer-linked", hostId);
        await link.run();
        if (this.links.get(hostId) === link) {
            this.links.delete(hostId);
            this.unlistedSince.delete(hostId);
            this.setUnlinked(hostId);
            this.notify("peer-lost", hostId);
        }
    }

    private setUnlinked(hostId: string): void {
        if (this.listedPeers.has(hostId) && !this.links.has(hostId)) {
            this.unlinkedSince.set(hostId, this.opts.now());
        }
    }

    /** Closes links that this host has opened and no longer wants. The last link stays, as it may be needed to find others. */
    private closeUnlistedLinks(): void {
        if (!this.opts.closesUnlistedLinks) {
            return;
        }
        const now = this.opts.now();
        for (const [hostId, link] of [...this.links]) {
            if (this.listedPeers.has(hostId) || link.side === "acceptor") {
                this.unlistedSince.delete(hostId);
                continue;
            }
            const since = this.unlistedSince.get(hostId) ?? now;
            this.unlistedSince.set(hostId, since);
            if (now - since > UNLISTED_LINK_GRACE_MS && this.links.size > 1) {
                link.close();
            }
        }
    }

    /** An earlier incarnation is accepted only without an open link, as clocks can be set back between two starts. */
    private isAcceptable({ hostId, incarnation }: PeerIdentity, expectedHostId: string | undefined): boolean {
        const hasExpectedId = hostId !== this.opts.identity.hostId && (expectedHostId ?? hostId) === hostId;
        const currentLink = this.links.get(hostId);
        return hasExpectedId
            && (currentLink === undefined || !currentLink.isOpen || incarnation >= currentLink.peer.incarnation);
    }

    private notify(event: "peer-linked" | "peer-lost", peer: string): void {
        this.opts.onEvent?.(event, { peer });
        this.listeners.forEach(listener => listener());
    }
}

/** Full jitter keeps hosts that lost their link at the same moment from reconnecting at the same moment. */
function retryDelayMs(failures: number, isSecondOpener: boolean): number {
    if (isSecondOpener && failures === 1) {
        return SECOND_OPENER_DELAY_MS;
    }
    return MIN_BACKOFF_MS + Math.random() * Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** failures);
}
