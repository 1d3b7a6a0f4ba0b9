/**
 * How the end of a body is found.
 *
 * - `none`: there is no body.
 * - `sized`: the head states its length in bytes.
 * - `chunked`: it consists of chunks, each with its size.
 * - `unframed`: it ends with the connection.
 */
export type BodyFraming =
    | { readonly kind: "none"; }
    | { readonly kind: "sized"; readonly length: number; }
    | { readonly kind: "chunked"; }
    | { readonly kind: "unframed"; };
