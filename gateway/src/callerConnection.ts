import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { RequestGate } from "./requestGate.js";

/** Requests of one connection in the order in which they arrived, until their responses have been sent. */
export class CallerConnection {
    private readonly gate: RequestGate;
    private readonly requests = new Map<IncomingMessage, () => void>();
    private readonly waiting = new Set<() => void>();

    constructor(
        private readonly socket: Socket,
        opts: ConstructorParameters<typeof RequestGate>[1],
    ) {
        this.gate = new RequestGate(socket, opts);
        socket.once("close", () => this.wake());
    }

    /** Requests whose response has not been sent completely. */
    get running(): number {
        return this.requests.size;
    }

    start(request: IncomingMessage): void {
        this.requests.set(request, this.gate.start(request));
    }

    end(request: IncomingMessage): void {
        this.requests.get(request)?.();
        this.requests.delete(request);
        this.wake();
    }

    /** Resolves once no earlier request is left; returns false if an earlier response has closed the connection. */
    async waitForTurn(request: IncomingMessage): Promise<boolean> {
        await this.waitUntil(() => this.requests.keys().next().value === request);
        return this.socket.writable;
    }

    /**
     * Reads no more requests, and resolves once all that have arrived completely have been answered; returns false if the connection has
     * closed meanwhile.
     */
    async finish(): Promise<boolean> {
        this.gate.stop();
        await this.waitUntil(() => ![...this.requests.keys()].some(({ complete }) => complete));
        return this.socket.writable;
    }

    private async waitUntil(condition: () => boolean): Promise<void> {
        while (!condition() && this.socket.writable) {
            await new Promise<void>(resolve => this.waiting.add(resolve));
        }
    }

    private wake(): void {
        this.waiting.forEach(resolve => resolve());
        this.waiting.clear();
    }
}
