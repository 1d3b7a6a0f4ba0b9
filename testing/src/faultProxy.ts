import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import { resetConnection } from "./resetConnection.js";

/**
 * How the proxy treats a connection.
 *
 * - `pass`: forwards all data, delayed by `delayMs`.
 * - `refuse`: resets the connection.
 * - `refuse-new`: resets new connections, and passes the data of those that are open.
 * - `silent`: keeps the connection open and drops all data in both directions, like a network partition.
 * - `silent-to-client`, `silent-to-server`: the same for one direction.
 */
export interface ConnectionFault {
    readonly mode: "pass" | "refuse" | "refuse-new" | "silent" | "silent-to-client" | "silent-to-server";
    readonly delayMs?: number;
}

/** A TCP address. */
interface Endpoint {
    readonly address: string;
    readonly port: number;
}

/** A connection of a client and the one that the proxy opened to the server for it. */
interface ProxiedConnection {
    readonly client: Socket;
    readonly server: Socket;
    fault: ConnectionFault;
    isReset: boolean;
}

/** TCP proxy that injects faults, chosen by the source address of each connection. */
export class FaultProxy {
    private readonly server: Server;
    private readonly connections = new Set<ProxiedConnection>();
    /** All open sockets, including those whose peer closed while the connection was silent. */
    private readonly sockets = new Set<Socket>();
    /** Starts to listen again after `refuseConnections`. */
    private listenTimer: NodeJS.Timeout | undefined;
    private isClosed = false;
    private faultOf: (sourceAddress: string) => ConnectionFault = () => ({ mode: "pass" });

    constructor(private readonly listenAt: Endpoint, private readonly upstream: Endpoint) {
        this.server = createServer(client => this.acceptConnection(client));
    }

    /** Resolves when the proxy accepts connections. */
    async start(): Promise<this> {
        this.server.listen(this.listenAt.port, this.listenAt.address);
        await once(this.server, "listening");
        return this;
    }

    /** Sets the fault of all new and open connections by the source address of each. */
    setFault(faultOf: (sourceAddress: string) => ConnectionFault): void {
        this.faultOf = faultOf;
        this.applyTo(() => true);
    }

    /** Makes the open connections silent until `setFault` is called; new connections are not affected. */
    silenceOpenConnections(): void {
        this.connections.forEach(connection => connection.fault = { mode: "silent" });
    }

    /** Resets all open connections. */
    resetOpenConnections(): void {
        this.connections.forEach(connection => reset(connection));
    }

    /** Does not listen for a time, in ms, so that the system refuses new connections, as if the server had ended. */
    refuseConnections(durationMs: number): void {
        if (this.isClosed) {
            return;
        }
        const { port, address } = this.listenAt;
        this.server.close();
        clearTimeout(this.listenTimer);
        this.listenTimer = setTimeout(() => this.server.listen(port, address), durationMs);
    }

    /** Stops listening and destroys all sockets. */
    close(): void {
        this.isClosed = true;
        clearTimeout(this.listenTimer);
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    /** Assigns each matching connection its current fault and resets it if the fault is `refuse`. */
    private applyTo(isAffected: (connection: ProxiedConnection) => boolean): void {
        for (const connection of [...this.connections].filter(isAffected)) {
            connection.fault = this.faultOf(connection.client.remoteAddress ?? "");
            if (connection.fault.mode === "refuse") {
                reset(connection);
            }
        }
    }

    private acceptConnection(client: Socket): void {
        const fault = this.faultOf(client.remoteAddress ?? "");
        if (fault.mode === "refuse" || fault.mode === "refuse-new") {
            resetConnection(client);
            return;
        }
        const { address: host, port } = this.upstream;
        const connection: ProxiedConnection = { client, server: connect({ host, port }), fault, isReset: false };
        this.connections.add(connection);
        for (const socket of [client, connection.server]) {
            this.sockets.add(socket);
            socket.once("close", () => this.sockets.delete(socket));
        }
        this.relay(connection, client, connection.server, "silent-to-server");
        this.relay(connection, connection.server, client, "silent-to-client");
    }

    /** Forwards data, end, errors and close from one socket to the other, unless this direction is silent. */
    private relay(
        connection: ProxiedConnection,
        from: Socket,
        to: Socket,
        silentMode: ConnectionFault["mode"],
    ): void {
        const isSilent = () => connection.fault.mode === "silent" || connection.fault.mode === silentMode;
        from.on("data", (chunk: Buffer) => {
            const forward = () => {
                if (!isSilent() && to.writable && !to.write(chunk)) {
                    from.pause();
                    to.once("drain", () => from.resume());
                }
            };
            const { delayMs = 0 } = connection.fault;
            if (delayMs > 0) {
                setTimeout(forward, delayMs);
            }
            else {
                forward();
            }
        });
        from.on("end", () => isSilent() || to.end());
        from.on("error", () => isSilent() || resetConnection(to));
        from.on("close", () => {
            this.connections.delete(connection);
            if (!isSilent() && !connection.isReset) {
                to.destroy();
            }
        });
    }
}

function reset(connection: ProxiedConnection): void {
    connection.isReset = true;
    resetConnection(connection.client);
    resetConnection(connection.server);
}
