import type { Socket } from "node:net";

/**
 * Resets a connection. While its end is being sent, the system call fails and the socket would stay open for good, also when the
 * process exits; it is reset once the end has been sent.
 */
export function resetConnection(socket: Socket): void {
    const isSendingEnd = socket.writableEnded && !socket.writableFinished && socket.writableLength === 0;
    if (isSendingEnd) {
        socket.once("finish", () => socket.resetAndDestroy());
    }
    else {
        socket.resetAndDestroy();
    }
}
