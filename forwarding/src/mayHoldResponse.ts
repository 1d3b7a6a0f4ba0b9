const VERSION_PREFIX = Buffer.from("HTTP/1.");

/** Whether a body holds a version of HTTP, as the start of a response does. Much faster than looking for a head. */
export function mayHoldResponse(body: Buffer): boolean {
    return body.length >= VERSION_PREFIX.length && body.indexOf(VERSION_PREFIX) !== -1;
}
