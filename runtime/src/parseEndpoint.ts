import type { Endpoint } from "./endpoint.js";

/** Parses `address:port` with an IPv4 address, without validating either. */
export function parseEndpoint(text: string): Endpoint {
    const [address = "", port = ""] = text.split(":");
    return { address, port: Number(port) };
}
