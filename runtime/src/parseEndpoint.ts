import type { Endpoint } from "./endpoint.js";

/** Reads `address:port` with an IPv4 address. */
export function parseEndpoint(text: string): Endpoint {
    const [address = "", port = ""] = text.split(":");
    return { address, port: Number(port) };
}
