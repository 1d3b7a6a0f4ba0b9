/** A response that belongs to another request than the one in progress on its connection. */
export class StrayResponse extends Error {
    override readonly name = "StrayResponse";
}
