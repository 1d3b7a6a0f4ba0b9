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

const ROSTER_DOCUMENT = "roster";

/**
 * State of the fleet as derived from heartbeats: which hosts are present, which document versions they have adopted,
 * and how old this host's evidence about the documents is.
 */
export class Membership implements RosterView {
    private readonly reportsByHost = new Map<string, ReceivedReport>();
    private roster: Roster | undefined;
    private rosterVersion = 0;
    /** Monotonic time in ms at which more than half of the roster was first known to hold this roster. */
    private majoritySince: number | undefined;
    private isComplete = false;
    private storeEvidenceAt = -Infinity;
    private quorumEvidenceAt = -Infinity;
    private state: HostReport["state"] = "live";

    constructor(private readonly opts: MembershipOptions) {}

    /** Newest report of each peer, including peers that have left. */
    get reports(): readonly ReceivedReport[] {
        return [...this.reportsByHost.values()];
    }

    /** Newest known roster; `undefined` before the first one. */
    get currentRoster(): Roster | undefined {
        return this.roster;
    }

    /** Age in ms of the newest evidence from the store: reads by this host and reads relayed to it. */
    get storeEvidenceAgeMs(): number {
        return this.opts.now() - this.storeEvidenceAt;
    }

    /** Age in ms of the newest evidence of any kind; infinite if there was none. */
    get evidenceAgeMs(): number {
        return this.opts.now() - Math.max(this.storeEvidenceAt, this.quorumEvidenceAt);
    }

    /** Whether the change to the newest known roster is complete: shares may grow, and the next change may follow. */
    get isRosterComplete(): boolean {
        this.updateCompletion();
        return this.isComplete;
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

    /** Reports this host as leaving from now on. */
    leave(): void {
        this.state = "leaving";
    }

    /** Returns the current report of this host about itself. */
    report(): HostReport {
        const ageMs = this.storeEvidenceAgeMs;
        return {
            versions: this.opts.versions(),
            state: this.state,
            ...(ageMs < FRESHNESS_BOUND_MS ? { evidenceAgeMs: ageMs } : {}),
        };
    }

    /** Records a report of a linked peer; `probedAt` is as passed to `HeartbeatPart.receive`. */
    recordReport(from: Reporter, report: HostReport, probedAt: number | undefined): void {
        const { id, incarnation, availabilityZone } = from;
        const receivedAt = this.opts.now();
        this.reportsByHost.set(id, { ...report, id, incarnation, availabilityZone, probedAt, receivedAt });
        // A report about versions that this host does not hold yet is no evidence that its own versions are current.
        if (probedAt !== undefined && report.evidenceAgeMs !== undefined && this.holdsAtLeast(report.versions)) {
            this.storeEvidenceAt = Math.max(this.storeEvidenceAt, probedAt - report.evidenceAgeMs);
        }
        this.updateQuorum();
        this.updateCompletion();
    }

    /** Records a read or watch of the store, sent at the monotonic time `sentAt`, once this host holds its results. */
    recordStoreRead(sentAt: number): void {
        this.storeEvidenceAt = Math.max(this.storeEvidenceAt, sentAt);
    }

    /** Applies a newer roster document. */
    applyRoster(roster: Roster, version: number): void {
        this.roster = roster;
        this.rosterVersion = version;
        this.majoritySince = undefined;
        this.isComplete = false;
        this.updateCompletion();
    }

    /** Whether a peer has reported a newer version of a document than this host holds. */
    isBehindPeers(name: string): boolean {
        const held = this.opts.versions()[name] ?? 0;
        return this.reports.some(report => (report.versions[name] ?? 0) > held);
    }

    /** Whether all members and the member removed last hold at least this version or have been replaced. */
    isAdoptedByAll(name: string, version: number): boolean {
        const { roster } = this;
        if (roster === undefined) {
            return false;
        }
        const required = roster.removed === undefined ? roster.members : [...roster.members, roster.removed];
        return required.every(member => this.isAdoptedBy(member, name, version));
    }

    /** Whether more than half of the members hold at least this version or have been replaced. */
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
     * Whether a later process of the same host is known. It could not have bound the host's addresses while the earlier
     * one used them, so the earlier one has ended and need not adopt anything. Without this check, a fleet whose hosts
     * are all replaced at once would wait for processes that have ended.
     */
    private isReplaced({ id, incarnation }: RosterMember): boolean {
        const { self } = this.opts;
        const known = id === self.id ? self.incarnation : this.reportsByHost.get(id)?.incarnation;
        return known !== undefined && known > incarnation;
    }

    private reportOf({ id, incarnation }: RosterMember): ReceivedReport | undefined {
        const report = this.reportsByHost.get(id);
        return report?.incarnation === incarnation ? report : undefined;
    }

    private isSelf({ id, incarnation }: RosterMember): boolean {
        return id === this.opts.self.id && incarnation === this.opts.self.incarnation;
    }

    private holdsAtLeast(versions: HostReport["versions"]): boolean {
        const held = this.opts.versions();
        return Object.entries(versions).every(([name, version]) => version <= (held[name] ?? 0));
    }

    /**
     * Quorum evidence is as old as the oldest report of the newest majority. It is not renewed while a recent report, of
     * any host, shows a version newer than this host's.
     */
    private updateQuorum(): void {
        const members = this.roster?.members ?? [];
        const now = this.opts.now();
        const recent = this.reports.filter(({ receivedAt }) => now - receivedAt < FRESHNESS_BOUND_MS);
        if (members.length === 0 || recent.some(({ versions }) => !this.holdsAtLeast(versions))) {
            return;
        }
        const times = members.map(member => this.isSelf(member) ? now : this.reportOf(member)?.probedAt ?? -Infinity);
        const oldestOfMajority = times.sort((one, other) => other - one)[Math.floor(members.length / 2)] ?? -Infinity;
        this.quorumEvidenceAt = Math.max(this.quorumEvidenceAt, oldestOfMajority);
    }

    /**
     * The change is complete once all members have the roster, or once a majority has had it for the freshness bound:
     * then no host without it can still have fresh evidence.
     */
    private updateCompletion(): void {
        if (this.isComplete || this.roster === undefined) {
            return;
        }
        const { rosterVersion: version } = this;
        if (this.majoritySince === undefined && this.isAdoptedByMajority(ROSTER_DOCUMENT, version)) {
            this.majoritySince = this.opts.now();
        }
        const isMajorityOldEnough = this.majoritySince !== undefined &&
            this.opts.now() - this.majoritySince >= FRESHNESS_BOUND_MS;
        this.isComplete = isMajorityOldEnough || this.isAdoptedByAll(ROSTER_DOCUMENT, version);
    }
}
