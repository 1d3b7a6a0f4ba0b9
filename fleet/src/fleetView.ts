import type { PeerIdentity } from "@pistachioreel/peering";
import type { FleetReport } from "./fleetReport.js";
import type { FleetViewObserver } from "./fleetViewObserver.js";
import type { ReadyHost } from "./readyHost.js";
import type { ReadyZone } from "./readyZone.js";
import { RelayUsage } from "./relayUsage.js";
import type { Usage } from "./usage.js";
import { UsageBaselines } from "./usageBaselines.js";
import { UsageTotals } from "./usageTotals.js";

interface FleetViewOptions {
    readonly availabilityZone: string;
    readonly region: string;
    /** Position of a host among the preferred relays of its zone; the lowest is used if several report the same. */
    readonly positionOf: (hostId: string) => number;
    readonly observer: FleetViewObserver;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** State of this host that its reports contain. */
interface OwnState {
    readonly state: FleetReport["state"];
    readonly callers: string;
    readonly detour?: FleetReport["detour"];
    readonly running: Readonly<Record<string, number>>;
    /** Requests received and admitted since the start, by workspace. */
    readonly admitted: Readonly<Record<string, Usage>>;
}

interface ReceivedReport {
    readonly from: PeerIdentity;
    readonly report: FleetReport;
    /** Ready hosts by availability zone, from all reports of the link. */
    readonly readyZones: Map<string, ReadyZone>;
    readonly receivedAt: number;
}

type Summary = NonNullable<FleetReport["summary"]>;

/** Counts of a report are used for this time; reports are sent several times within it. */
const MAX_REPORT_AGE_MS = 2_000;
/** Another relay is used in place of one whose report is older, which is two to three of the longest report intervals. */
const LATE_REPORT_MS = 1_000;
/** Share of hosts by which two relays differ before the one that knows more is preferred. */
const MIN_HOST_DIFFERENCE = 0.1;
/** Ready hosts of a lost relay are listed for this time, within which another relay takes its place. */
const READY_ZONES_GRACE_MS = 2_500;
const OWN_SOURCE = "own";

/**
 * What this host knows of the others from reports, and the summaries that it passes on as a relay. A host that is no
 * relay uses the summary of one relay of its zone. A relay uses the reports of the hosts of its own zone and the summary
 * of one relay of each other zone; it passes them on to the hosts of its zone, and the sum of its own zone to the relays
 * of other zones. So each request is counted once, and nothing passes through more than two relays.
 */
export class FleetView {
    private readonly reports = new Map<string, ReceivedReport>();
    private readonly baselines: UsageBaselines;
    private readonly zoneUsage = new UsageTotals();
    private readonly remoteUsage = new UsageTotals();
    /** Usage reported by the relays of each availability zone, by zone. */
    private readonly relayUsages = new Map<string, RelayUsage>();
    /** Counts that the observer has last received, by source. */
    private readonly usedSources = new Map<string, Readonly<Record<string, number>>>();
    private own: OwnState = { state: "starting", callers: "", running: {}, admitted: {} };
    private isRelay = false;
    /** Sum over the own zone, the same for all other zones; `undefined` once a part of it has changed. */
    private zoneSum: Summary | undefined;
    private lastZones: { readonly zones: ReadonlyMap<string, ReadyZone>; readonly at: number; } | undefined;

    constructor(private readonly opts: FleetViewOptions) {
        this.baselines = new UsageBaselines({ maxGapMs: MAX_REPORT_AGE_MS, now: opts.now });
    }

    /** Sets whether this host is a relay. */
    setRole(isRelay: boolean): void {
        if (isRelay !== this.isRelay) {
            this.isRelay = isRelay;
            this.relayUsages.clear();
            this.updateSources();
        }
    }

    /** Sets the state of this host to report next. */
    setOwn(own: OwnState): void {
        this.own = own;
        this.zoneSum = undefined;
        this.zoneUsage.add(OWN_SOURCE, this.baselines.increases(OWN_SOURCE, OWN_SOURCE, own.admitted));
    }

    /** Records the report of a linked host. */
    record(from: PeerIdentity, report: FleetReport): void {
        const { hostId, incarnation } = from;
        const previous = this.reports.get(hostId);
        const readyZones = previous?.from.incarnation === incarnation ? previous.readyZones : new Map();
        Object.entries(report.summary?.readyHosts ?? {}).forEach(([zone, ready]) => readyZones.set(zone, ready));
        this.reports.set(hostId, { from, report, readyZones, receivedAt: this.opts.now() });
        this.zoneSum = undefined;
        const ownIncreases = this.baselines.increases(hostId, incarnation, report.admitted);
        const summaryIncreases = this.baselines.increases(
            `${hostId} summary`,
            incarnation,
            report.summary?.admitted ?? {},
        );
        this.updateSources();
        this.countUsage(from, ownIncreases, summaryIncreases);
    }

    /** Forgets the reports of a host without a link. */
    forget(hostId: string): void {
        const lost = this.reports.get(hostId);
        if (lost !== undefined && this.usedRelay === lost) {
            this.lastZones = { zones: lost.readyZones, at: this.opts.now() };
        }
        this.reports.delete(hostId);
        this.zoneSum = undefined;
        this.updateSources();
    }

    /** Number of hosts whose requests this host knows, itself included. */
    get hostCount(): number {
        if (!this.isRelay) {
            return 1 + (this.usedRelay === undefined ? 0 : 1 + (this.usedRelay.report.summary?.hosts ?? 0));
        }
        return 1 + this.members.length + this.remoteSummaries.reduce((sum, { hosts }) => sum + hosts, 0);
    }

    /** Linked hosts that reach targets and accept requests of others. */
    get detourHosts(): readonly (PeerIdentity & { readonly token: string; })[] {
        return [...this.reports.values()].flatMap(received => {
            const { from, report: { state, detour } } = received;
            const isUsable = this.isRecent(received) && state === "ready" && detour?.isCutOff === false;
            return isUsable ? [{ ...from, token: detour.token }] : [];
        });
    }

    /** Hosts that accept callers, itself not included. */
    get readyHosts(): readonly ReadyHost[] {
        return [...this.readyZones].flatMap(([availabilityZone, { region, callers }]) =>
            callers.filter(address => address !== this.own.callers)
                .map(address => ({ availabilityZone, region, callers: address }))
        );
    }

    /** The newest report of the relay that this host uses, and its age in ms; `undefined` if it uses none. */
    get relayReport(): { readonly report: FleetReport; readonly ageMs: number; } | undefined {
        const relay = this.usedRelay;
        return relay && { report: relay.report, ageMs: this.opts.now() - relay.receivedAt };
    }

    /** The newest report of a linked host, and its age in ms; `undefined` if it is too old to be used. */
    reportOf(hostId: string): { readonly report: FleetReport; readonly ageMs: number; } | undefined {
        const received = this.reports.get(hostId);
        return received !== undefined && this.isRecent(received)
            ? { report: received.report, ageMs: this.opts.now() - received.receivedAt }
            : undefined;
    }

    /** The relay whose summary this host uses; `undefined` if it uses none. */
    get usedRelayId(): string | undefined {
        return this.usedRelay?.from.hostId;
    }

    /** The complete summary for a peer; `undefined` if this host has none for it. */
    summaryFor({ hostId, availabilityZone }: PeerIdentity): Summary | undefined {
        return availabilityZone !== this.opts.availabilityZone
            ? this.zoneSum ??= this.zoneSummary()
            : this.isRelay
            ? this.fleetSummary(hostId)
            : undefined;
    }

    /** Sum over this host's zone, for other zones. */
    private zoneSummary(): Summary {
        const running = sumCounts([this.own.running, ...this.members.map(({ report }) => report.running)]);
        return {
            hosts: this.members.length + 1,
            running,
            admitted: Object.fromEntries(this.zoneUsage.without()),
            readyHosts: { [this.opts.availabilityZone]: this.ownReadyZone },
        };
    }

    /** Sum over the fleet but this host and the receiver, for a host of this host's zone. */
    private fleetSummary(receiver: string): Summary {
        const members = this.members.filter(({ from }) => from.hostId !== receiver);
        const remote = this.remoteSummaries;
        const admitted = this.zoneUsage.without(OWN_SOURCE, receiver);
        for (const [workspace, [requested, taken]] of this.remoteUsage.without()) {
            const sum = admitted.get(workspace) ?? [0, 0];
            admitted.set(workspace, [sum[0] + requested, sum[1] + taken]);
        }
        return {
            hosts: members.length + remote.reduce((sum, { hosts }) => sum + hosts, 0),
            running: sumCounts([
                ...members.map(({ report }) => report.running),
                ...remote.map(({ running }) => running),
            ]),
            admitted: Object.fromEntries(admitted),
            readyHosts: Object.fromEntries(this.readyZones),
        };
    }

    /** Reports of the linked hosts of the own zone, whose counts are recent. */
    private get members(): ReceivedReport[] {
        return [...this.reports.values()].filter(received =>
            received.from.availabilityZone === this.opts.availabilityZone && this.isRecent(received)
        );
    }

    private get remoteSummaries(): Summary[] {
        return [...this.remoteRelays.values()].map(({ report }) => report.summary!);
    }

    /** The relay to use of each other availability zone. */
    private get remoteRelays(): Map<string, ReceivedReport> {
        const relays = new Map<string, ReceivedReport>();
        for (const received of this.reports.values()) {
            const { from: { availabilityZone }, report } = received;
            const isUsable = availabilityZone !== this.opts.availabilityZone && report.summary !== undefined &&
                this.isRecent(received);
            if (isUsable && this.isPreferred(received, relays.get(availabilityZone))) {
                relays.set(availabilityZone, received);
            }
        }
        return relays;
    }

    /** The relay of the own zone whose summary this host uses if it is no relay itself. */
    private get usedRelay(): ReceivedReport | undefined {
        let used: ReceivedReport | undefined;
        for (const received of this.members) {
            if (received.report.summary !== undefined && this.isPreferred(received, used)) {
                used = received;
            }
        }
        return used;
    }

    private get readyZones(): ReadonlyMap<string, ReadyZone> {
        if (!this.isRelay) {
            const { lastZones, usedRelay } = this;
            const isLastRecent = lastZones !== undefined && this.opts.now() - lastZones.at < READY_ZONES_GRACE_MS;
            return usedRelay?.readyZones ?? (isLastRecent ? lastZones.zones : new Map<string, ReadyZone>());
        }
        const zones = new Map([[this.opts.availabilityZone, this.ownReadyZone]]);
        for (const [zone, { readyZones }] of this.remoteRelays) {
            const ready = readyZones.get(zone);
            if (ready !== undefined) {
                zones.set(zone, ready);
            }
        }
        return zones;
    }

    private get ownReadyZone(): ReadyZone {
        const ready = [this.own, ...this.members.map(({ report }) => report)].filter(({ state }) => state === "ready");
        // Callers of a host without targets are served through others, so such a host is named only if all are so.
        const reaching = ready.filter(({ detour }) => detour?.isCutOff !== true);
        const callers = (reaching.length > 0 ? reaching : ready).map(host => host.callers);
        return { region: this.opts.region, callers: callers.sort() };
    }

    private isRecent({ receivedAt }: ReceivedReport): boolean {
        return this.opts.now() - receivedAt <= MAX_REPORT_AGE_MS;
    }

    private isPreferred(received: ReceivedReport, current: ReceivedReport | undefined): boolean {
        if (current === undefined || this.isLate(received) !== this.isLate(current)) {
            return current === undefined || this.isLate(current);
        }
        if (knowsFewer(received, current) !== knowsFewer(current, received)) {
            return knowsFewer(current, received);
        }
        return this.opts.positionOf(received.from.hostId) < this.opts.positionOf(current.from.hostId);
    }

    private isLate({ receivedAt }: ReceivedReport): boolean {
        return this.opts.now() - receivedAt > LATE_REPORT_MS;
    }

    /** Passes the running requests of the sources in use to the observer. */
    private updateSources(): void {
        const sources = this.isRelay
            ? [
                ...this.members.map(({ from, report }) => [from.hostId, report.running] as const),
                ...[...this.remoteRelays].map(([zone, { report }]) =>
                    [zoneSource(zone), report.summary!.running] as const
                ),
            ]
            : this.usedRelay === undefined
            ? []
            : [
                [this.usedRelay.from.hostId, this.usedRelay.report.running] as const,
                ["fleet", this.usedRelay.report.summary!.running] as const,
            ];
        const { observer } = this.opts;
        const ids = new Set(sources.map(([id]) => id));
        for (const id of this.usedSources.keys()) {
            if (!ids.has(id)) {
                this.usedSources.delete(id);
                observer.onRunning(id, undefined);
            }
        }
        for (const [id, running] of sources) {
            if (this.usedSources.get(id) !== running) {
                this.usedSources.set(id, running);
                observer.onRunning(id, running);
            }
        }
    }

    private countUsage(
        from: PeerIdentity,
        ownIncreases: ReadonlyMap<string, Usage>,
        summaryIncreases: ReadonlyMap<string, Usage>,
    ): void {
        const { hostId, availabilityZone } = from;
        const { observer } = this.opts;
        if (availabilityZone !== this.opts.availabilityZone) {
            if (this.isRelay) {
                const isUsed = this.remoteRelays.get(availabilityZone)?.from.hostId === hostId;
                const counted = this.relayUsageOf(availabilityZone).record(hostId, summaryIncreases, { isUsed });
                this.remoteUsage.add(zoneSource(availabilityZone), counted);
                observer.onUsage(counted);
            }
            return;
        }
        this.zoneUsage.add(hostId, ownIncreases);
        if (this.isRelay) {
            observer.onUsage(ownIncreases);
        }
        else if (this.reports.get(hostId)?.report.summary !== undefined) {
            const isUsed = this.usedRelay?.from.hostId === hostId;
            const usage = this.relayUsageOf(availabilityZone);
            // What the relay itself has admitted is not part of its summary.
            observer.onUsage(usage.record(hostId, plusUsage(ownIncreases, summaryIncreases), { isUsed }));
        }
    }

    private relayUsageOf(zone: string): RelayUsage {
        let usage = this.relayUsages.get(zone);
        if (usage === undefined) {
            usage = new RelayUsage();
            this.relayUsages.set(zone, usage);
        }
        return usage;
    }
}

/** Whether a relay knows clearly fewer hosts than another one, as it has just started or is cut off from some. */
function knowsFewer(a: ReceivedReport, b: ReceivedReport): boolean {
    const hostsOfA = a.report.summary?.hosts ?? 0;
    const hostsOfB = b.report.summary?.hosts ?? 0;
    return hostsOfA + Math.max(1, hostsOfB * MIN_HOST_DIFFERENCE) < hostsOfB;
}

function plusUsage(a: ReadonlyMap<string, Usage>, b: ReadonlyMap<string, Usage>): Map<string, Usage> {
    const sums = new Map(a);
    for (const [workspace, [requested, admitted]] of b) {
        const before = sums.get(workspace) ?? [0, 0];
        sums.set(workspace, [before[0] + requested, before[1] + admitted]);
    }
    return sums;
}

function zoneSource(availabilityZone: string): string {
    return `zone ${availabilityZone}`;
}

function sumCounts(parts: readonly Readonly<Record<string, number>>[]): Record<string, number> {
    const sums: Record<string, number> = {};
    for (const part of parts) {
        for (const [id, count] of Object.entries(part)) {
            sums[id] = (sums[id] ?? 0) + count;
        }
    }
    return sums;
}
