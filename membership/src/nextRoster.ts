import type { ReceivedReport } from "./receivedReport.js";
import { Roster } from "./roster.js";
import type { RosterMember } from "./rosterMember.js";

interface RosterSituation {
    readonly self: RosterMember;
    /** The newest known roster, whose last change is complete. */
    readonly roster: Roster | undefined;
    /** Newest reports of peers. */
    readonly reports: readonly ReceivedReport[];
    /** Ids of the hosts that are linked now. */
    readonly linked: ReadonlySet<string>;
    /** Ids of the hosts that the platform's list names as live. */
    readonly listed: ReadonlySet<string>;
    /** Time since the start of this process, in ms. */
    readonly upMs: number;
    /** Monotonic time in ms. */
    readonly now: number;
}

/** A host without heartbeats for this long is dropped if the platform does not list it as live. */
const SILENT_MS = 10_000;
/** The first roster waits at most this long for hosts that are listed and not linked. */
const CREATION_WAIT_MS = 3_000;

/** The roster after the next change that is due, or `undefined` if none is. Removals go before additions. */
export function nextRoster(situation: RosterSituation): Roster | undefined {
    const { roster, self } = situation;
    const joining = [self, ...situation.reports.filter(report => canJoin(report, situation)).map(memberOf)];
    if (roster === undefined) {
        const isAllThere = [...situation.listed].every(id => joining.some(member => member.id === id));
        return isAllThere || situation.upMs > CREATION_WAIT_MS ? Roster.create(joining) : undefined;
    }
    const gone = roster.members.find(member => isGone(member, situation));
    if (gone !== undefined) {
        return roster.remove(gone);
    }
    const added = joining.find(member => roster.find(member.id) === undefined);
    return added === undefined ? undefined : roster.add(added);
}

/** A host joins with evidence of its own, so that it holds every document that was in force when it was read. */
function canJoin(report: ReceivedReport, { linked }: RosterSituation): boolean {
    return linked.has(report.id) && report.state === "live" && report.evidenceAgeMs !== undefined;
}

function isGone(member: RosterMember, { self, reports, linked, listed, upMs, now }: RosterSituation): boolean {
    if (member.id === self.id) {
        return member.incarnation !== self.incarnation;
    }
    const report = reports.find(({ id }) => id === member.id);
    if (report !== undefined && linked.has(member.id)) {
        return report.incarnation !== member.incarnation || report.state === "leaving";
    }
    const silentMs = Math.min(upMs, report === undefined ? Infinity : now - report.receivedAt);
    return silentMs > SILENT_MS && !listed.has(member.id);
}

function memberOf({ id, incarnation, availabilityZone }: ReceivedReport): RosterMember {
    return { id, incarnation, availabilityZone };
}
