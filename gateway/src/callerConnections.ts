import type { Socket } from "node:net";

/** Open connections of callers, with the number of requests on each that have not been responded to completely. */
export class CallerConnections {
    private readonly runningBySocket = new Map<Socket, number>();

    get count(): number {
        return this.runningBySocket.size;
    }

    /** Adds a connection, until it closes. */
    add(socket: Socket): void {
        this.runningBySocket.set(socket, 0);
        socket.once("close", () => this.runningBySocket.delete(socket));
    }

    /** Counts a request on the connection until the returned function is called. */
    startRequest(socket: Socket): () => void {
        this.change(socket, 1);
        return () => this.change(socket, -1);
    }

    /** Closes the connections without a request. */
    closeIdle(): void {
        for (const [socket, running] of this.runningBySocket) {
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
        for (const [socket, running] of this.runningBySocket) {
            if (running === 0) {
                socket.destroy();
            }
            else {
                reset(socket);
            }
        }
    }

    private change(socket: Socket, difference: 1 | -1): void {
        const running = this.runningBySocket.get(socket);
        if (running !== undefined) {
            this.runningBySocket.set(socket, running + difference);
        }
    }
}

/** Resets a connection at once. Node's own method waits until all that has been written is sent. */
function reset(socket: Socket): void {
    socket.destroySoon = () => void socket.destroy();
    socket.resetAndDestroy();
}
