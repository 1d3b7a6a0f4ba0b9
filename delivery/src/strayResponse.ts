/** A response on a connection that belongs to another request than the one that runs there. */
export class StrayResponse extends Error {
    override readonly name = "StrayResponse";
}
