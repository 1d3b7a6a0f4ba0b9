import type { DocumentRepository } from "@pistachioreel/documents";
import { FRESHNESS_BOUND_MS, Roster, type RosterMember } from "@pistachioreel/membership";
import type { HostList } from "@pistachioreel/platform-store";
import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { setTimeout as sleep } from "node:timers/promises";
import { hostStatusSchema } from "./hostStatus.js";
import { queryHosts } from "./queryHosts.js";

interface WaitUntilWithdrawnOptions {
    readonly hostList: HostList;
    readonly repository: DocumentRepository;
    /** Version of the key registry in which the key is withdrawn. */
    readonly version: number;
    /** Time to wait, in ms; 14 000 by default. */
    readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 14_000;
const POLL_INTERVAL_MS = 200;

/**
 * Waits until a withdrawal is in force everywhere: all hosts of the roster have it, or more than half of them have had
 * it for the freshness bound, so that no host without it can still be fresh: such hosts refuse keys. Returns a text
 * that says which of the two holds. Failure: `withdrawalPending` if neither does in time.
 */
export async function waitUntilWithdrawn(opts: WaitUntilWithdrawnOptions): Promise<Result<string, Failure>> {
    const deadline = performance.now() + (opts.timeoutMs ?? DEFAULT_TIMEOUT_MS);
    const confirmed = new Set<string>();
    let majoritySince: number | undefined;
    for (;;) {
        const members = await readMembers(opts);
        await collectConfirmations(opts, confirmed);
        const missing = members.filter(member => !confirmed.has(processKeyOf(member)));
        if (members.length > 0 && missing.length === 0) {
            return ok(`in force on all ${members.length} hosts`);
        }
        const hasMajority = members.length - missing.length > members.length / 2;
        majoritySince = hasMajority ? majoritySince ?? performance.now() : undefined;
        if (majoritySince !== undefined && performance.now() - majoritySince >= FRESHNESS_BOUND_MS) {
            const ids = missing.map(({ id }) => id).join(", ");
            return ok(`in force; hosts that do not answer refuse keys until they have it: ${ids}`);
        }
        if (performance.now() >= deadline) {
            return err(withdrawalPending(members, missing));
        }
        await sleep(POLL_INTERVAL_MS);
    }
}

/** Members of the stored roster; none if it cannot be read. */
async function readMembers({ repository }: WaitUntilWithdrawnOptions): Promise<readonly RosterMember[]> {
    const document = await repository.read("roster");
    const roster = document.andThen(found => found === undefined ? ok(undefined) : Roster.fromContent(found.content));
    return roster.unwrapOr(undefined)?.members ?? [];
}

/** Adds the processes that have the version in force to `confirmed`. */
async function collectConfirmations(
    { hostList, version }: WaitUntilWithdrawnOptions,
    confirmed: Set<string>,
): Promise<void> {
    const hosts = (await hostList.hosts()).unwrapOr([]);
    for (const { body } of await queryHosts(hosts, "/v1/status", hostStatusSchema)) {
        if (body !== undefined && body.documents.keys >= version) {
            confirmed.add(processKeyOf({ id: body.hostId, incarnation: body.incarnation }));
        }
    }
}

/** Key of a process, not of a host: a restarted host has lost the documents that its predecessor had in force. */
function processKeyOf({ id, incarnation }: Pick<RosterMember, "id" | "incarnation">): string {
    return `${id}/${incarnation}`;
}

function withdrawalPending(members: readonly RosterMember[], missing: readonly RosterMember[]): Failure {
    const counts = `${members.length - missing.length} of ${members.length}`;
    const ids = missing.map(({ id }) => id).join(", ");
    return new Failure("withdrawalPending", `the key is withdrawn in the store; ${counts} hosts confirm, not ${ids}`, {
        details: { confirmed: members.length - missing.length, hosts: members.length, missing: ids },
    });
}
