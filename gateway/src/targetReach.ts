import type { Logger } from "@pistachioreel/logging";
import { type Target, targetKey } from "@pistachioreel/placement";
import { runPeriodically } from "@pistachioreel/runtime";
import { shuffled } from "./shuffled.js";

interface TargetReachOptions {
    readonly availabilityZone: string;
    /** Registered targets that accept requests of this host. */
    readonly targets: () => readonly Target[];
    /** Sends a request on a new connection to a target, which does not run it; resolves to whether it has responded. */
    readonly probe: (target: Target, signal: AbortSignal) => Promise<boolean>;
    /**
     * Asks other hosts whether any of them reaches targets; `undefined` if none has replied. Without it, no host is asked.
     */
    readonly askPeers?: () => Promise<boolean | undefined>;
    /** Asks other hosts whether any of them reaches the target. Without it, none does. */
    readonly askPeersAbout?: (target: Target) => Promise<boolean>;
    /** Called when this host has lost or regained the way to the targets. */
    readonly onChange: (isCutOff: boolean) => void;
    readonly logger: Logger;
    /** Monotonic time in ms. */
    readonly now: () => number;
    readonly signal: AbortSignal;
}

/** An attempt that is in progress. */
interface WaitingAttempt {
    readonly target: Target;
    /** Monotonic time in ms. */
    readonly startedAt: number;
}

const TICK_MS = 150;
/** Failures of different targets within this time lead to a check. */
const FAILURE_LIFETIME_MS = 1_000;
/** If no target has responded for this time, attempts that wait as long count as failures. */
const MAX_SILENCE_MS = 700;
/** The loss of one target is no sign of a loss of all. */
const MIN_FAILED_TARGETS = 2;
const PROBE_TIMEOUT_MS = 400;
const MIN_CHECK_INTERVAL_MS = 300;
/** Targets of the own availability zone that a check tries; they may be the only ones that a partition leaves. */
const OWN_ZONE_PROBES = 2;
const OTHER_PROBES = 4;
/** Without the word of another host, fewer targets than this are more likely to be down than out of reach. */
const MIN_UNCONFIRMED_PROBES = 3;

/**
 * Finds out whether this host has lost the way to all targets, from what attempts show and by requests to some targets
 * that these do not run. It has if none of them responds, unless the other hosts reach none either, as the targets are down then.
 */
export class TargetReach {
    private cutOff = false;
    /** Monotonic time in ms of the last failure of each target, by its key. */
    private readonly failures = new Map<string, number>();
    private readonly waiting = new Set<WaitingAttempt>();
    /** Monotonic time in ms of the last response of any target. */
    private respondedAt: number;
    /** Monotonic time in ms at which the last check has ended. */
    private checkedAt = -Infinity;
    private runningCheck: Promise<boolean> | undefined;
    private readonly cutOffHandlers: (() => void)[] = [];

    constructor(private readonly opts: TargetReachOptions) {
        this.respondedAt = opts.now();
    }

    /** Whether this host reaches no target, as the last check has shown. */
    get isCutOff(): boolean {
        return this.cutOff;
    }

    /** Registers a function that is called when this host has lost the way to all targets. */
    onCutOff(handler: () => void): void {
        this.cutOffHandlers.push(handler);
    }

    /** Whether another host reaches a target that this host has lost. */
    async isReachedElsewhere(target: Target): Promise<boolean> {
        return await this.opts.askPeersAbout?.(target) ?? false;
    }

    /** Records the start of an attempt. The returned function is called when it has ended. */
    startAttempt(target: Target): (hasResponse: boolean) => void {
        const attempt = { target, startedAt: this.opts.now() };
        this.waiting.add(attempt);
        return hasResponse => {
            this.waiting.delete(attempt);
            if (hasResponse) {
                this.respondedAt = this.opts.now();
                this.failures.delete(targetKey(target));
            }
        };
    }

    /** Records that a target could not be reached or was lost. */
    recordFailure(target: Target): void {
        this.failures.set(targetKey(target), this.opts.now());
    }

    /** Checks at intervals whether what attempts show is a loss of all targets, until the signal aborts. */
    async run(): Promise<void> {
        const { signal, logger } = this.opts;
        await runPeriodically(() => {
            if (this.shouldCheck()) {
                void this.check();
            }
        }, {
            intervalMs: () => TICK_MS,
            signal,
            onError: cause => logger.error({ event: "reach-check-failed", fields: { reason: String(cause) } }),
        });
    }

    /** Tries some targets, unless that is being done already; resolves to whether this host reaches none. */
    check(): Promise<boolean> {
        this.runningCheck ??= this.probeTargets().finally(() => this.runningCheck = undefined);
        return this.runningCheck;
    }

    private shouldCheck(): boolean {
        const now = this.opts.now();
        if (now - this.checkedAt < MIN_CHECK_INTERVAL_MS) {
            return false;
        }
        if (this.cutOff) {
            return true;
        }
        this.forgetOldFailures(now);
        const silent = now - this.respondedAt > MAX_SILENCE_MS
            ? [...this.waiting].filter(({ startedAt }) => now - startedAt > MAX_SILENCE_MS)
            : [];
        const failed = new Set([...this.failures.keys(), ...silent.map(({ target }) => targetKey(target))]);
        return failed.size >= Math.min(MIN_FAILED_TARGETS, this.opts.targets().length) && failed.size > 0;
    }

    private forgetOldFailures(now: number): void {
        for (const [key, at] of this.failures) {
            if (now - at > FAILURE_LIFETIME_MS) {
                this.failures.delete(key);
            }
        }
    }

    /** Tries some targets for another host that asks. */
    async tryForPeer(): Promise<"reachable" | "cutOff" | "unreachable"> {
        const probed = this.chooseTargets();
        const isReachable = probed.length > 0 && await this.respondsAny(probed);
        return isReachable ? "reachable" : this.cutOff ? "cutOff" : "unreachable";
    }

    /** Tries one target for another host that has lost it. */
    async tryTargetForPeer(key: string): Promise<boolean> {
        const target = this.opts.targets().find(known => targetKey(known) === key);
        return target !== undefined && await this.respondsAny([target]);
    }

    private async probeTargets(): Promise<boolean> {
        const probed = this.chooseTargets();
        const isCutOff = probed.length > 0 && !await this.respondsAny(probed) && await this.isConfirmed(probed.length);
        this.checkedAt = this.opts.now();
        if (!this.opts.signal.aborted) {
            this.update(isCutOff, probed.length);
        }
        return this.cutOff;
    }

    /** Whether it is the way to the targets that is lost, and not all targets that are down. */
    private async isConfirmed(probes: number): Promise<boolean> {
        return await this.opts.askPeers?.() ?? probes >= MIN_UNCONFIRMED_PROBES;
    }

    private async respondsAny(targets: readonly Target[]): Promise<boolean> {
        const { probe, signal } = this.opts;
        const timeout = new AbortController();
        const abort = () => timeout.abort();
        // A signal of AbortSignal.timeout that only another signal refers to may be collected as garbage before it fires.
        const timer = setTimeout(abort, PROBE_TIMEOUT_MS);
        signal.addEventListener("abort", abort);
        const results = await Promise.all(targets.map(target => probe(target, timeout.signal)));
        clearTimeout(timer);
        signal.removeEventListener("abort", abort);
        return results.includes(true);
    }

    private update(isCutOff: boolean, probes: number): void {
        if (isCutOff === this.cutOff) {
            return;
        }
        this.cutOff = isCutOff;
        const silenceMs = Math.round(this.opts.now() - this.respondedAt);
        const fields = { probes, failedTargets: this.failures.size, silenceMs };
        this.opts.logger.warn({ event: isCutOff ? "targets-unreachable" : "targets-reachable", fields });
        this.failures.clear();
        this.opts.onChange(isCutOff);
        if (isCutOff) {
            this.cutOffHandlers.forEach(handler => handler());
        }
    }

    private chooseTargets(): Target[] {
        const targets = shuffled(this.opts.targets());
        const isNear = ({ availabilityZone }: Target) => availabilityZone === this.opts.availabilityZone;
        const near = targets.filter(isNear).slice(0, OWN_ZONE_PROBES);
        return [...near, ...targets.filter(target => !near.includes(target)).slice(0, OTHER_PROBES)];
    }
}
