import { Failure } from "@pistachioreel/result-code";
import { rejectMalformedRequest, resetConnection } from "@pistachioreel/runtime";
import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { CallerConnection } from "./callerConnection.js";
import type { ListenerLimits } from "./listenerLimits.js";

interface CallerConnectionsOptions {
    /** Most connections; above, the one that has been without work for the longest time is closed. */
    readonly maxCount: number;
    readonly limits: Pick<ListenerLimits, "headMemory" | "passQueue">;
}

/** Open connections of one listener, bounded in number, with their requests that have not been responded to completely. */
export class CallerConnections {
    private readonly connections = new Map<Socket, CallerConnection>();
    /** Connections no request of which is being worked on, the one that has been so for the longest time first. */
    private readonly evictable = new Set<Socket>();
    private readonly workBySocket = new Map<Socket, number>();

    constructor(private readonly opts: CallerConnectionsOptions) {}

    get count(): number {
        return this.connections.size;
    }

    /** Adds all connections of a server from now on. */
    watch(server: Server): void {
        server.on("connection", (socket: Socket) => this.add(socket));
    }

    /** Adds a request until the returned function is called. */
    startRequest(request: IncomingMessage): () => void {
        const { socket } = request;
        this.connections.get(socket)?.start(request);
        this.refresh(socket);
        return () => {
            this.connections.get(socket)?.end(request);
            this.refresh(socket);
        };
    }

    /** Keeps the connection open, also if there are too many, until the returned function is called. */
    startWork(socket: Socket): () => void {
        this.changeWork(socket, 1);
        return () => this.changeWork(socket, -1);
    }

    /** Resolves once no earlier request of the connection is left; returns false if the connection has closed by then. */
    async waitForTurn(request: IncomingMessage): Promise<boolean> {
        return await this.connections.get(request.socket)?.waitForTurn(request) ?? request.socket.writable;
    }

    /** Refuses what cannot be read as a request, after the responses to the requests before it, and closes the connection. */
    rejectMalformed(socket: Duplex, failure: Failure): void {
        const connection = this.connections.get(socket as Socket);
        if (connection === undefined || !socket.writable) {
            rejectMalformedRequest(socket, failure);
            return;
        }
        // Otherwise the refusal would be taken for the response to an earlier request, which may have run.
        void connection.finish().then(isOpen => isOpen && rejectMalformedRequest(socket, failure));
    }

    /** Closes the connections without a request. */
    closeIdle(): void {
        for (const [socket, { running }] of this.connections) {
            if (running === 0) {
                socket.destroy();
            }
        }
    }

    /**
     * Closes all connections. Those with a request are reset, as a response without a length would look complete if its connection
     * ended in order.
     */
    cutOff(): void {
        for (const [socket, { running }] of this.connections) {
            close(socket, running);
        }
    }

    private add(socket: Socket): void {
        if (this.connections.size >= this.opts.maxCount && !this.closeOldest()) {
            socket.destroy();
            return;
        }
        const { headMemory, passQueue: queue } = this.opts.limits;
        const holder = `caller:${socket.remoteAddress}`;
        const connection = new CallerConnection(socket, {
            takeMemory: bytes => headMemory.tryTake(holder, bytes),
            releaseMemory: bytes => headMemory.release(holder, bytes),
            queue,
            onMemoryFull: () => this.rejectMalformed(socket, new Failure("memoryFull")),
        });
        this.connections.set(socket, connection);
        this.evictable.add(socket);
        socket.once("close", () => this.remove(socket));
    }

    private remove(socket: Socket): void {
        this.connections.delete(socket);
        this.evictable.delete(socket);
        this.workBySocket.delete(socket);
    }

    /** Closes the connection that has been without work for the longest time; returns false if there is none. */
    private closeOldest(): boolean {
        const [oldest] = this.evictable;
        if (oldest === undefined) {
            return false;
        }
        const running = this.connections.get(oldest)?.running ?? 0;
        this.remove(oldest);
        close(oldest, running);
        return true;
    }

    private changeWork(socket: Socket, difference: 1 | -1): void {
        if (!this.connections.has(socket)) {
            return;
        }
        const work = (this.workBySocket.get(socket) ?? 0) + difference;
        this.workBySocket.set(socket, work);
        this.refresh(socket);
    }

    /** Makes the connection the last to be closed, or none that is closed at all while it is worked on. */
    private refresh(socket: Socket): void {
        if (!this.connections.has(socket)) {
            return;
        }
        this.evictable.delete(socket);
        if ((this.workBySocket.get(socket) ?? 0) === 0) {
            this.evictable.add(socket);
        }
    }
}

function close(socket: Socket, running: number): void {
    if (running === 0) {
        socket.destroy();
    }
    else {
        resetConnection(socket);
    }
}
