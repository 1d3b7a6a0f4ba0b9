import type { ReceivedReport } from "./receivedReport.js";
import { Roster } from "./roster.js";
import type { RosterMember } from "./rosterMember.js";

interface RosterInputs {
    readonly self: RosterMember;
    /** Newest known roster, whose last change is complete. */
    readonly roster: Roster | undefined;
    /** Newest reports of peers. */
    readonly reports: readonly ReceivedReport[];
    /** Ids of the hosts that are linked now. */
    readonly linked: ReadonlySet<string>;
    /** Ids of the hosts that the platform lists as live. */
    readonly listed: ReadonlySet<string>;
    /** Time since the start of this process, in ms. */
    readonly upMs: number;
    /** Monotonic time in ms. */
    readonly now: number;
}

/** A host without heartbeats for this long is removed if the platform does not list it as live. */
const SILENCE_TIMEOUT_MS = 10_000;
/** The creation of the first roster waits at most this long for listed hosts that are not linked. */
const MAX_CREATION_WAIT_MS = 3_000;

/** Returns the roster after the next change that is due, or `undefined` if none is. Removals precede additions. */
export function nextRoster(inputs: RosterInputs): Roster | undefined {
    const { roster, self } = inputs;
    const joining = [self, ...inputs.reports.filter(report => canJoin(report, inputs)).map(memberOf)];
    if (roster === undefined) {
        const areAllListedPresent = [...inputs.listed].every(id => joining.some(member => member.id === id));
        return areAllListedPresent || inputs.upMs > MAX_CREATION_WAIT_MS ? Roster.create(joining) : undefined;
    }
    const departed = roster.members.find(member => hasDeparted(member, inputs));
    if (departed !== undefined) {
        return roster.remove(departed);
    }
    const added = joining.find(member => roster.find(member.id) === undefined);
    return added === undefined ? undefined : roster.add(added);
}

/** A host joins only with evidence from the store, so that it holds every document in force at the time of the read. */
function canJoin(report: ReceivedReport, { linked }: RosterInputs): boolean {
    return linked.has(report.id) && report.state === "live" && report.evidenceAgeMs !== undefined;
}

function hasDeparted(member: RosterMember, { self, reports, linked, listed, upMs, now }: RosterInputs): boolean {
    if (member.id === self.id) {
        return member.incarnation !== self.incarnation;
    }
    const report = reports.find(({ id }) => id === member.id);
    if (report !== undefined && linked.has(member.id)) {
        return report.incarnation !== member.incarnation || report.state === "leaving";
    }
    const silentMs = Math.min(upMs, report === undefined ? Infinity : now - report.receivedAt);
    return silentMs > SILENCE_TIMEOUT_MS && !listed.has(member.id);
}

function memberOf({ id, incarnation, availabilityZone }: ReceivedReport): RosterMember {
    return { id, incarnation, availabilityZone };
}
