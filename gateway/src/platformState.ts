import { DesiredState } from "@pistachioreel/desired-state";
import type { Logger } from "@pistachioreel/logging";
import { type Target, type TargetRegistry, targetSchema } from "@pistachioreel/placement";
import type { FeedEntry, ObjectFeed } from "@pistachioreel/platform-store";
import { setTimeout as sleep } from "node:timers/promises";
import { isDeepStrictEqual } from "node:util";
import { type AnnouncedHost, announcedHostSchema } from "./announcedHost.js";
import { createReplicatedFeed } from "./createReplicatedFeed.js";
import { DeferredRemovals } from "./deferredRemovals.js";
import { FeedFollower } from "./feedFollower.js";
import type { PlatformAccess } from "./platformAccess.js";
import type { ReplicatedFeed } from "./replicatedFeed.js";
import { StoreCheck } from "./storeCheck.js";
import type { StoreGate } from "./storeGate.js";

type Feeds = Pick<PlatformAccess, "desiredStates" | "targets" | "evacuations" | "hosts" | "readPosition">;

interface PlatformStateOptions {
    readonly feeds: Feeds;
    readonly registry: TargetRegistry;
    readonly hostId: string;
    /** Time after its removal from the store within which a target must stop receiving requests, in ms. */
    readonly drainBoundMs: number;
    /** Whether this host follows the store itself. */
    readonly gate: StoreGate;
    /** Number of hosts that follow the store. */
    readonly followerCount: () => number;
    /** Position of this host among those that follow the store. */
    readonly followerIndex: () => number;
    /** Monotonic time in ms at which the store recovered, as reported by the relay of a host that does not follow it. */
    readonly reportedStoreRegainedAt: () => number | undefined;
    /** Whether another host has sent what it knows since the start of this one, or has had the time to. */
    readonly hasHeardPeers: () => boolean;
    /** Called when this host has applied changes, in addition to the callbacks for them. */
    readonly onChange: () => void;
    /** Called after each check of the store by this host. */
    readonly onStoreChecked: () => void;
    /** Called with each newer desired state. */
    readonly onDesiredState: (state: DesiredState) => void;
    /** Called when targets were added, changed or removed. */
    readonly onTargets: () => void;
    /** Called with all registered hosts when any of them changed. */
    readonly onHosts: (hosts: readonly AnnouncedHost[]) => void;
    readonly logger: Logger;
    /** Monotonic time in ms. */
    readonly now: () => number;
    readonly signal: AbortSignal;
}

/** Live targets register again within this time after the store has come back from an older copy. */
const TARGET_REWRITE_MS = 2_500;
/** While the store changes, its check asks at most this often for changes of hosts that their watch has not delivered. */
const HOSTS_CHECK_INTERVAL_MS = 5_000;
/** Above this number of changes of targets at once, only their number is logged. */
const MAX_LOGGED_CHANGES = 20;

/** This host's view of the platform: desired state, targets, evacuations and hosts. */
export class PlatformState {
    /** Feeds that hosts replicate to each other, by name. */
    readonly replicatedFeeds: ReadonlyMap<string, ReplicatedFeed>;
    private readonly states: FeedFollower<DesiredState>;
    private readonly targets: FeedFollower<Target>;
    private readonly evacuations: FeedFollower<true>;
    private readonly hosts: FeedFollower<AnnouncedHost>;
    /** Finds changes that the watches of the feeds do not deliver. */
    readonly storeCheck: StoreCheck;
    private readonly deferredRemovals: DeferredRemovals;
    private newestState: DesiredState | undefined;
    private knownHostIds: readonly string[];

    constructor(private readonly opts: PlatformStateOptions) {
        const { feeds, registry, hostId, drainBoundMs, onTargets, now } = opts;
        this.knownHostIds = [hostId];
        this.deferredRemovals = new DeferredRemovals({
            registry,
            storeRegainedAt: () => this.storeRegainedAt,
            drainBoundMs,
            onRemoved: onTargets,
            now,
        });
        this.states = this.createFollower("states", feeds.desiredStates, changed => this.applyStates(changed));
        this.targets = this.createFollower("targets", feeds.targets, changed => this.applyTargets(changed), {
            rewriteMs: TARGET_REWRITE_MS,
        });
        this.evacuations = this.createFollower("evacuations", feeds.evacuations, () => this.applyEvacuations());
        this.hosts = this.createFollower("hosts", feeds.hosts, () => this.applyHosts(), { readsAtStart: true });
        const { gate, followerIndex, onStoreChecked, logger, signal } = opts;
        this.storeCheck = new StoreCheck({
            readPosition: () => feeds.readPosition(),
            followers: [this.states, this.targets, this.evacuations, this.rarelyCheckedHosts],
            gate,
            followerIndex,
            onChecked: onStoreChecked,
            logger,
            now,
            signal,
        });
        this.replicatedFeeds = new Map([
            [
                "states",
                createReplicatedFeed(this.states, { decode: decodeState, encode: ({ content }) => content, now }),
            ],
            ["targets", createReplicatedFeed(this.targets, { decode: decodeTarget, encode: target => target, now })],
            [
                "evacuations",
                createReplicatedFeed(this.evacuations, { decode: () => true as const, encode: () => true, now }),
            ],
            ["hosts", createReplicatedFeed(this.hosts, { decode: decodeHost, encode: host => host, now })],
        ]);
    }

    /**
     * The newest desired state; `undefined` until targets and evacuations are known too, as the host could otherwise
     * send requests to targets that it must not use, and until other hosts have added what the store may have lost.
     */
    get stateInForce(): DesiredState | undefined {
        const isComplete = this.targets.hasSynced && this.evacuations.hasSynced && this.opts.hasHeardPeers();
        return isComplete ? this.newestState : undefined;
    }

    /** Ids of all registered hosts, this one included. */
    get hostIds(): readonly string[] {
        return this.knownHostIds;
    }

    /** Whether the hosts of the fleet have been read, from the store or from another host. */
    get knowsHosts(): boolean {
        return this.hosts.hasSynced;
    }

    /** Era of the store in which the hosts were last read; registrations of earlier ones may be lost. */
    get hostsEra(): number {
        return this.hosts.position.era;
    }

    /**
     * Whether the host is registered with the same content, so that it need not be written again. The registration may be lost
     * when the store comes back from an older copy.
     */
    hasRegistered(host: AnnouncedHost): boolean {
        return this.hosts.liveEntries.some(entry =>
            entry.era === this.hostsEra && isDeepStrictEqual(entry.value, host)
        );
    }

    /** Registered hosts. */
    private get registeredHosts(): readonly AnnouncedHost[] {
        return this.hosts.liveEntries.map(({ value }) => value);
    }

    /** @param hostsDelayMs Time until the other hosts have registered and can be read. */
    async run(hostsDelayMs: number): Promise<void> {
        [this.states, this.targets, this.evacuations].forEach(follower => void follower.run());
        void this.storeCheck.run();
        await sleep(hostsDelayMs, undefined, { signal: this.opts.signal }).catch(() => undefined);
        await this.hosts.run();
    }

    private get followers() {
        return [this.states, this.targets, this.evacuations, this.hosts];
    }

    /**
     * The hosts, for the check of the store. A check asks for each kind of which no change is known up to the store's position,
     * and the list of hosts changes rarely and need not be as new as the others.
     */
    private get rarelyCheckedHosts() {
        const { hosts, opts: { now } } = this;
        let caughtUpAt = -Infinity;
        return {
            get confirmedPosition() {
                return now() - caughtUpAt < HOSTS_CHECK_INTERVAL_MS ? undefined : hosts.confirmedPosition;
            },
            recordCheck: (check: Parameters<typeof hosts.recordCheck>[0]) => hosts.recordCheck(check),
            catchUp: () => {
                caughtUpAt = now();
                return hosts.catchUp();
            },
        };
    }

    /** Longest time for which the store has sent nothing about one of the feeds, in ms; 0 if this host does not follow it. */
    get storeSilenceMs(): number {
        return this.opts.gate.isOpen ? Math.max(...this.followers.map(({ storeSilenceMs }) => storeSilenceMs)) : 0;
    }

    /** Monotonic time in ms at which the store last recovered; `undefined` while it is unreachable. */
    get storeRegainedAt(): number | undefined {
        if (!this.opts.gate.isOpen) {
            return this.opts.reportedStoreRegainedAt();
        }
        return this.followers.some(({ isLost }) => isLost)
            ? undefined
            : Math.max(...this.followers.map(({ regainedAt }) => regainedAt));
    }

    private createFollower<T>(
        name: string,
        feed: ObjectFeed<T>,
        onChange: (changed: readonly FeedEntry<T>[]) => void,
        opts: { readonly readsAtStart?: boolean; readonly rewriteMs?: number; } = {},
    ): FeedFollower<T> {
        const { logger, now, signal, gate, followerCount } = this.opts;
        return new FeedFollower({
            name,
            feed,
            onChange: changed => {
                onChange(changed);
                this.opts.onChange();
            },
            hostCount: followerCount,
            gate,
            ...opts,
            logger,
            now,
            signal,
        });
    }

    private applyStates(changed: readonly FeedEntry<DesiredState>[]): void {
        for (const { value, revision } of changed) {
            if (value !== undefined && value.version > (this.newestState?.version ?? -1)) {
                this.newestState = value;
                this.opts.onDesiredState(value);
                const fields = {
                    version: value.version,
                    routes: value.content.routes.length,
                    revision,
                    storeSilenceMs: this.states.storeSilenceMs,
                };
                this.opts.logger.info({ event: "desired-state-in-force", fields });
            }
        }
    }

    private applyTargets(changed: readonly FeedEntry<Target>[]): void {
        const deferredMs = this.deferredRemovals.apply(changed);
        this.logTargets(changed);
        if (deferredMs > 0) {
            const removed = changed.filter(({ value }) => value === undefined).length;
            this.opts.logger.info({
                event: "target-removals-deferred",
                fields: { removed, ms: Math.round(deferredMs) },
            });
        }
        this.opts.onTargets();
    }

    /** Logs each change, or only the number of changes if there are many at once, as at the start of the fleet. */
    private logTargets(changed: readonly FeedEntry<Target>[]): void {
        const { logger } = this.opts;
        if (changed.length > MAX_LOGGED_CHANGES) {
            const removed = changed.filter(({ value }) => value === undefined).length;
            const fields = { changed: changed.length, removed, revision: this.targets.position.revision };
            logger.info({ event: "targets-changed", fields });
            return;
        }
        for (const { name, value, revision } of changed) {
            const fields = {
                target: name,
                revision,
                incarnation: value?.incarnation,
                sequence: value?.sequence,
                service: value?.service,
                zone: value?.availabilityZone,
                state: value === undefined ? "removed" : value.isDraining ? "draining" : "ready",
                coldMs: value?.coldMs,
            };
            logger.info({ event: "target-changed", fields });
        }
    }

    private applyEvacuations(): void {
        const zones = new Set(this.evacuations.liveEntries.map(({ name }) => name));
        this.opts.registry.setEvacuatedZones(zones);
        this.opts.logger.info({ event: "evacuations-changed", fields: { zones: [...zones].join(",") } });
    }

    private applyHosts(): void {
        const hosts = this.registeredHosts;
        this.knownHostIds = [...new Set([this.opts.hostId, ...hosts.map(({ hostId }) => hostId)])];
        this.opts.onHosts(hosts);
    }
}

function decodeState(content: unknown): DesiredState | undefined {
    return DesiredState.fromContent(content).unwrapOr(undefined);
}

function decodeTarget(value: unknown): Target | undefined {
    return targetSchema.safeParse(value).data;
}

function decodeHost(value: unknown): AnnouncedHost | undefined {
    return announcedHostSchema.safeParse(value).data;
}
