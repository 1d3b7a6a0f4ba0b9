import { DesiredState } from "@pistachioreel/desired-state";
import type { Logger } from "@pistachioreel/logging";
import { type Target, type TargetRegistry, targetSchema } from "@pistachioreel/placement";
import type { FeedEntry, ObjectFeed } from "@pistachioreel/platform-store";
import { type AnnouncedHost, announcedHostSchema } from "./announcedHost.js";
import { createReplicatedFeed } from "./createReplicatedFeed.js";
import { DeferredRemovals } from "./deferredRemovals.js";
import { FeedFollower } from "./feedFollower.js";
import type { PlatformAccess } from "./platformAccess.js";
import type { ReplicatedFeed } from "./replicatedFeed.js";

type Feeds = Pick<PlatformAccess, "desiredStates" | "targets" | "evacuations" | "hosts">;

interface PlatformStateOptions {
    readonly feeds: Feeds;
    readonly registry: TargetRegistry;
    readonly hostId: string;
    /** Time within which a target that has left must get no more requests, in ms. */
    readonly drainBoundMs: number;
    readonly onDesiredState: (state: DesiredState) => void;
    /** Called when targets have come, changed or gone. */
    readonly onTargets: () => void;
    readonly onHosts: (hosts: readonly AnnouncedHost[]) => void;
    readonly logger: Logger;
    /** Monotonic time in ms. */
    readonly now: () => number;
    readonly signal: AbortSignal;
}

/** What this host knows of the platform: desired state, targets, evacuations and the other hosts. */
export class PlatformState {
    /** Feeds that hosts pass on to each other, by name. */
    readonly shared: ReadonlyMap<string, ReplicatedFeed>;
    private readonly states: FeedFollower<DesiredState>;
    private readonly targets: FeedFollower<Target>;
    private readonly evacuations: FeedFollower<true>;
    private readonly hosts: FeedFollower<AnnouncedHost>;
    private readonly hold: DeferredRemovals;
    private newest: DesiredState | undefined;
    private ids: readonly string[];

    constructor(private readonly opts: PlatformStateOptions) {
        const { feeds, registry, hostId, drainBoundMs, onTargets, now } = opts;
        this.ids = [hostId];
        this.hold = new DeferredRemovals({
            registry,
            storeRegainedAt: () => this.storeRegainedAt,
            drainBoundMs,
            onRemoved: onTargets,
            now,
        });
        this.states = this.follow("states", feeds.desiredStates, changed => this.takeStates(changed));
        this.targets = this.follow("targets", feeds.targets, changed => this.takeTargets(changed));
        this.evacuations = this.follow("evacuations", feeds.evacuations, () => this.takeEvacuations());
        this.hosts = this.follow("hosts", feeds.hosts, () => this.takeHosts());
        this.shared = new Map([
            ["states", createReplicatedFeed(this.states, decodeState, state => state.content)],
            [
                "targets",
                createReplicatedFeed(this.targets, value => targetSchema.safeParse(value).data, target => target),
            ],
            ["evacuations", createReplicatedFeed(this.evacuations, () => true as const, () => true)],
            [
                "hosts",
                createReplicatedFeed(this.hosts, value => announcedHostSchema.safeParse(value).data, host => host),
            ],
        ]);
    }

    /** `undefined` until targets and evacuations are known too, as the host would otherwise send where it must not. */
    get stateInForce(): DesiredState | undefined {
        return this.targets.hasRead && this.evacuations.hasRead ? this.newest : undefined;
    }

    /** All hosts that are known, this one included. */
    get hostIds(): readonly string[] {
        return this.ids;
    }

    /** Begins to follow the store. */
    run(): void {
        this.followers.forEach(follower => void follower.run());
    }

    private get followers(): readonly Pick<FeedFollower<unknown>, "run" | "isLost" | "regainedAt">[] {
        return [this.states, this.targets, this.evacuations, this.hosts];
    }

    /** Monotonic time in ms at which the store was last reached again; `undefined` while it is unreachable. */
    private get storeRegainedAt(): number | undefined {
        return this.followers.some(({ isLost }) => isLost)
            ? undefined
            : Math.max(...this.followers.map(({ regainedAt }) => regainedAt));
    }

    private follow<T>(
        name: string,
        feed: ObjectFeed<T>,
        onChange: (changed: readonly FeedEntry<T>[]) => void,
    ): FeedFollower<T> {
        const { logger, now, signal } = this.opts;
        return new FeedFollower({ name, feed, onChange, hostCount: () => this.ids.length, logger, now, signal });
    }

    private takeStates(changed: readonly FeedEntry<DesiredState>[]): void {
        for (const { value } of changed) {
            if (value !== undefined && value.version > (this.newest?.version ?? -1)) {
                this.newest = value;
                this.opts.onDesiredState(value);
                const fields = { version: value.version, routes: value.content.routes.length };
                this.opts.logger.info({ event: "desired-state-in-force", fields });
            }
        }
    }

    private takeTargets(changed: readonly FeedEntry<Target>[]): void {
        this.hold.apply(changed);
        for (const { name, value, revision } of changed) {
            const fields = {
                target: name,
                revision,
                service: value?.service,
                zone: value?.availabilityZone,
                state: value === undefined ? "removed" : value.isDraining ? "draining" : "ready",
                coldMs: value?.coldMs,
            };
            this.opts.logger.info({ event: "target-changed", fields });
        }
        this.opts.onTargets();
    }

    private takeEvacuations(): void {
        const zones = new Set(this.evacuations.present.map(({ name }) => name));
        this.opts.registry.setEvacuatedZones(zones);
        this.opts.logger.info({ event: "evacuations-changed", fields: { zones: [...zones].join(",") } });
    }

    private takeHosts(): void {
        const hosts = this.hosts.present.map(({ value }) => value);
        this.ids = [...new Set([this.opts.hostId, ...hosts.map(({ hostId }) => hostId)])];
        this.opts.onHosts(hosts);
    }
}

function decodeState(content: unknown): DesiredState | undefined {
    return DesiredState.fromContent(content).unwrapOr(undefined);
}
