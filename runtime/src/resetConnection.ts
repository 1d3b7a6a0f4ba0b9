import type { Socket } from "node:net";

/** Resets a connection at once. Node's own method waits until all that has been written is sent. */
export function resetConnection(socket: Socket): void {
    socket.destroySoon = () => void socket.destroy();
    socket.resetAndDestroy();
}
