import { FRESHNESS_BOUND_MS } from "./freshnessBound.js";
import type { HostReport } from "./hostReport.js";
import type { ReceivedReport } from "./receivedReport.js";
import type { Roster } from "./roster.js";
import type { RosterMember } from "./rosterMember.js";
import type { RosterView } from "./rosterView.js";

interface MembershipOptions {
    readonly self: RosterMember;
    /** Version of each document that this host holds. */
    readonly versions: () => Readonly<Record<string, number>>;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

type Reporter = Pick<RosterMember, "id" | "incarnation" | "availabilityZone">;

const ROSTER = "roster";

/**
 * What this host knows of the others from their heartbeats: who is there, what all have adopted, and how old its own
 * evidence about the documents is.
 */
export class Membership implements RosterView {
    private readonly received = new Map<string, ReceivedReport>();
    private roster: Roster | undefined;
    private rosterVersion = 0;
    /** Time at which more than half of the roster was first seen to hold the roster. */
    private majoritySince: number | undefined;
    private completed = false;
    private directAt = -Infinity;
    private quorumAt = -Infinity;
    private state: HostReport["state"] = "live";

    constructor(private readonly opts: MembershipOptions) {}

    /** Newest report of each peer, also of those that are gone. */
    get reports(): readonly ReceivedReport[] {
        return [...this.received.values()];
    }

    get currentRoster(): Roster | undefined {
        return this.roster;
    }

    /** Age in ms of the newest evidence that lies at the store: reads of this host and reads relayed to it. */
    get storeEvidenceAgeMs(): number {
        return this.opts.now() - this.directAt;
    }

    /** Age in ms of the newest evidence of any kind; infinite if there was none. */
    get evidenceAgeMs(): number {
        return this.opts.now() - Math.max(this.directAt, this.quorumAt);
    }

    /** Whether the newest known roster is in force for growing shares, so that the next change may be made. */
    get isRosterComplete(): boolean {
        this.updateCompletion();
        return this.completed;
    }

    get size(): number {
        const { roster } = this;
        if (roster === undefined) {
            return 0;
        }
        return this.isRosterComplete ? roster.members.length : Math.max(roster.members.length, roster.previousSize);
    }

    owners(): readonly string[] {
        const { self } = this.opts;
        const members = this.roster?.members ?? [];
        return members.filter(({ id, incarnation }) => id !== self.id || incarnation === self.incarnation)
            .map(({ id }) => id);
    }

    completedOwners(): readonly string[] {
        const { roster } = this;
        if (this.isRosterComplete) {
            return this.owners();
        }
        const isNew = (id: string) => roster?.previousSize === 0 || roster?.added?.id === id;
        return this.owners().filter(id => !isNew(id));
    }

    isFresh(): boolean {
        return this.evidenceAgeMs < FRESHNESS_BOUND_MS;
    }

    ownsShare(): boolean {
        return this.state === "live" && this.isFresh() && this.completedOwners().includes(this.opts.self.id);
    }

    /** Tells the others from now on that this host is leaving. */
    leave(): void {
        this.state = "leaving";
    }

    /** What this host says about itself now. */
    report(): HostReport {
        const age = this.storeEvidenceAgeMs;
        return {
            versions: this.opts.versions(),
            state: this.state,
            ...(age < FRESHNESS_BOUND_MS ? { evidenceAgeMs: age } : {}),
        };
    }

    /** Takes a report of a peer that is linked now; `probedAt` as in the heartbeat that carried it. */
    recordReport(from: Reporter, report: HostReport, probedAt: number | undefined): void {
        const { id, incarnation, availabilityZone } = from;
        const receivedAt = this.opts.now();
        this.received.set(id, { ...report, id, incarnation, availabilityZone, probedAt, receivedAt });
        // A report about versions that this host does not hold yet is no evidence for what it holds.
        if (probedAt !== undefined && report.evidenceAgeMs !== undefined && this.holdsAtLeast(report.versions)) {
            this.directAt = Math.max(this.directAt, probedAt - report.evidenceAgeMs);
        }
        this.updateQuorum();
        this.updateCompletion();
    }

    /** Takes a read or watch of the store, sent at `sentAt`, after everything that it showed is held. */
    recordStoreRead(sentAt: number): void {
        this.directAt = Math.max(this.directAt, sentAt);
    }

    /** Takes a newer roster document. */
    applyRoster(roster: Roster, version: number): void {
        this.roster = roster;
        this.rosterVersion = version;
        this.majoritySince = undefined;
        this.completed = false;
        this.updateCompletion();
    }

    /** Whether a peer, as far as it has reported, holds a newer version than this host. */
    isBehindPeers(name: string): boolean {
        const held = this.opts.versions()[name] ?? 0;
        return this.reports.some(report => (report.versions[name] ?? 0) > held);
    }

    /** Whether all of the roster and the member that was removed last hold at least this version or have been replaced. */
    isAdoptedByAll(name: string, version: number): boolean {
        const { roster } = this;
        if (roster === undefined) {
            return false;
        }
        const everybody = roster.removed === undefined ? roster.members : [...roster.members, roster.removed];
        return everybody.every(member => this.isAdoptedBy(member, name, version));
    }

    /** Whether more than half of the roster holds at least this version or has been replaced. */
    isAdoptedByMajority(name: string, version: number): boolean {
        const members = this.roster?.members ?? [];
        return members.filter(member => this.isAdoptedBy(member, name, version)).length > members.length / 2;
    }

    private isAdoptedBy(member: RosterMember, name: string, version: number): boolean {
        if (this.isSelf(member)) {
            return (this.opts.versions()[name] ?? 0) >= version;
        }
        const report = this.reportOf(member);
        return this.isReplaced(member) || (report !== undefined && (report.versions[name] ?? 0) >= version);
    }

    /**
     * Whether a later process of the same host is known. It could not have opened the host's addresses while the earlier
     * one held them, so the earlier one has ended and needs to adopt nothing. Without this, a fleet whose hosts are all
     * replaced at once would wait for processes that are gone.
     */
    private isReplaced({ id, incarnation }: RosterMember): boolean {
        const { self } = this.opts;
        const known = id === self.id ? self.incarnation : this.received.get(id)?.incarnation;
        return known !== undefined && known > incarnation;
    }

    private reportOf({ id, incarnation }: RosterMember): ReceivedReport | undefined {
        const report = this.received.get(id);
        return report?.incarnation === incarnation ? report : undefined;
    }

    private isSelf({ id, incarnation }: RosterMember): boolean {
        return id === this.opts.self.id && incarnation === this.opts.self.incarnation;
    }

    private holdsAtLeast(versions: HostReport["versions"]): boolean {
        const held = this.opts.versions();
        return Object.entries(versions).every(([name, version]) => version <= (held[name] ?? 0));
    }

    /** Evidence of a quorum is as old as the oldest report of the newest majority; none may know a newer version. */
    private updateQuorum(): void {
        const members = this.roster?.members ?? [];
        const now = this.opts.now();
        const recent = this.reports.filter(({ receivedAt }) => now - receivedAt < FRESHNESS_BOUND_MS);
        if (members.length === 0 || recent.some(({ versions }) => !this.holdsAtLeast(versions))) {
            return;
        }
        const times = members.map(member => this.isSelf(member) ? now : this.reportOf(member)?.probedAt ?? -Infinity);
        const oldestOfMajority = times.sort((one, other) => other - one)[Math.floor(members.length / 2)] ?? -Infinity;
        this.quorumAt = Math.max(this.quorumAt, oldestOfMajority);
    }

    private updateCompletion(): void {
        if (this.completed || this.roster === undefined) {
            return;
        }
        const { rosterVersion: version } = this;
        if (this.majoritySince === undefined && this.isAdoptedByMajority(ROSTER, version)) {
            this.majoritySince = this.opts.now();
        }
        const isOld = this.majoritySince !== undefined && this.opts.now() - this.majoritySince >= FRESHNESS_BOUND_MS;
        this.completed = isOld || this.isAdoptedByAll(ROSTER, version);
    }
}
