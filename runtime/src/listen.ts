import type { Server } from "node:net";
import type { Endpoint } from "./endpoint.js";

/** Starts listening; resolves when the server accepts connections. Rejects if the address is in use. */
export function listen(server: Server, { address, port }: Endpoint): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, address, () => {
            server.off("error", reject);
            resolve();
        });
    });
}
