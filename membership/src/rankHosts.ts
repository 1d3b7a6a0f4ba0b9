import { createHash } from "node:crypto";

/** Host ids in the order of rendezvous hashing for a subject; all hosts that know the same ids get the same order. */
export function rankHosts(subject: string, hostIds: readonly string[]): string[] {
    const weight = (id: string) => createHash("sha256").update(`${subject}/${id}`).digest("hex");
    return hostIds.map(id => [weight(id), id] as const).sort().map(([, id]) => id);
}
