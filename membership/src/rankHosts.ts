import { createHash } from "node:crypto";

/** Orders host ids by rendezvous hashing for a subject; hosts that know the same ids get the same order. */
export function rankHosts(subject: string, hostIds: readonly string[]): string[] {
    const weight = (id: string) => createHash("sha256").update(`${subject}/${id}`).digest("hex");
    return hostIds.map(id => [weight(id), id] as const).sort().map(([, id]) => id);
}
