import type { SharedStatement } from "./sharedStatement.js";
import { StatedPause } from "./statedPause.js";
import type { StatementObserver } from "./statementObserver.js";
import type { Target } from "./target.js";
import { targetKey } from "./targetKey.js";
import type { TargetRateLimits } from "./targetRateLimits.js";
import type { TargetStatement } from "./targetStatement.js";

interface TargetStatementsOptions {
    readonly observer: StatementObserver;
    readonly rateLimits: TargetRateLimits;
    /** Monotonic time in ms. */
    readonly now: () => number;
    /** Random numbers from 0 to below 1; `Math.random` by default. */
    readonly random?: () => number;
}

interface StatedCondition {
    /** Monotonic time in ms at which the target said that it is leaving; infinite if it has not. */
    leavingSince: number;
    limitPerSecond: number | undefined;
    /** Monotonic time in ms of the newest statement about the limit. */
    limitStatedAt: number;
    readonly pause: StatedPause;
    /** Headers of which an invalid value has been reported. */
    readonly reportedHeaders: Set<string>;
}

/** Longer than any source of entries is behind. */
const LEAVING_MEMORY_MS = 600_000;

/**
 * What each incarnation of a target has stated of itself in its responses. That it is leaving and its limit hold for all
 * hosts, which tell each other; a pause holds only for the host to which the target has responded.
 */
export class TargetStatements {
    private readonly conditions = new Map<string, StatedCondition>();
    /** Keys of targets whose shared statements have changed since the last call of `takeNews`. */
    private readonly news = new Set<string>();

    constructor(private readonly opts: TargetStatementsOptions) {}

    /**
     * Records what a response states.
     *
     * @param sentAt Monotonic time in ms at which its request was sent. A response without a limit ends the limit only
     * if its request was sent after the limit was stated: responses can arrive in another order than they were made.
     */
    record(target: Target, statement: TargetStatement, sentAt: number): void {
        const key = targetKey(target);
        const condition = this.conditionOf(key);
        this.reportInvalidHeaders(target, condition, statement);
        const { isLeaving, pauseMs, limitPerSecond } = statement;
        if (isLeaving && this.setLeaving(condition, this.opts.now())) {
            this.news.add(key);
            this.opts.observer.onStatement(target, "leaving");
        }
        if (pauseMs !== undefined && condition.pause.extend(pauseMs)) {
            this.opts.observer.onStatement(target, "pause", pauseMs);
        }
        const isCurrent = limitPerSecond !== undefined || sentAt > condition.limitStatedAt;
        if (isCurrent && this.setLimit(key, condition, limitPerSecond, this.opts.now())) {
            this.news.add(key);
            this.opts.observer.onStatement(
                target,
                limitPerSecond === undefined ? "unlimited" : "limit",
                limitPerSecond,
            );
        }
    }

    /** Records what another host has learned of a target; returns whether it was new to this host. */
    recordShared({ target, isLeaving, limitPerSecond, ageMs }: SharedStatement): boolean {
        const condition = this.conditionOf(target);
        const statedAt = this.opts.now() - ageMs;
        const isNewLeaving = isLeaving && this.setLeaving(condition, statedAt);
        const isNewLimit = statedAt > condition.limitStatedAt &&
            this.setLimit(target, condition, limitPerSecond ?? undefined, statedAt);
        return isNewLeaving || isNewLimit;
    }

    /** Returns the statements for other hosts that have changed since the last call. */
    takeNews(): SharedStatement[] {
        const keys = [...this.news];
        this.news.clear();
        return keys.flatMap(key => this.sharedOf(key));
    }

    /** All statements for other hosts, as initial state for a host that has just been linked. */
    allShared(): SharedStatement[] {
        return [...this.conditions.keys()].flatMap(key => this.sharedOf(key));
    }

    /** Whether this host may send the target a request, with so many of this host's requests running there. */
    accepts(target: Target, running: number): boolean {
        const condition = this.conditions.get(targetKey(target));
        return condition === undefined ||
            condition.leavingSince === Infinity && condition.pause.allows(running, target.slots);
    }

    /** Whether the target may be asked, during a long pause, if it accepts requests again. */
    mayProbe(target: Target): boolean {
        const condition = this.conditions.get(targetKey(target));
        return condition !== undefined && condition.leavingSince === Infinity && condition.pause.mayProbe;
    }

    /** Records that a request is being sent. */
    recordSent(target: Target): void {
        this.conditions.get(targetKey(target))?.pause.recordSent();
    }

    /** Whether the target has stated since then, a monotonic time in ms, that it wants no request. */
    hasDeclinedSince(target: Target, since: number): boolean {
        const condition = this.conditions.get(targetKey(target));
        return condition !== undefined &&
            (condition.leavingSince !== Infinity && condition.leavingSince >= since ||
                condition.pause.isStatedSince(since));
    }

    /** Time until the target accepts requests of this host again, in ms; infinite if it is leaving. */
    waitMs(target: Target): number {
        const condition = this.conditions.get(targetKey(target));
        return condition === undefined ? 0 : condition.leavingSince < Infinity ? Infinity : condition.pause.remainingMs;
    }

    /**
     * Removes the statements of all other targets, but for those that have said recently that they are leaving: a stale source
     * may bring back their entries.
     */
    retain(targets: readonly Target[]): void {
        const keys = new Set(targets.map(targetKey));
        const oldest = this.opts.now() - LEAVING_MEMORY_MS;
        for (const [key, { leavingSince }] of this.conditions) {
            const hasLeftRecently = leavingSince < Infinity && leavingSince > oldest;
            if (!keys.has(key) && !hasLeftRecently) {
                this.conditions.delete(key);
            }
        }
        this.opts.rateLimits.retain(targets);
    }

    private setLeaving(condition: StatedCondition, statedAt: number): boolean {
        if (condition.leavingSince < Infinity) {
            return false;
        }
        condition.leavingSince = statedAt;
        return true;
    }

    private setLimit(
        key: string,
        condition: StatedCondition,
        limitPerSecond: number | undefined,
        statedAt: number,
    ): boolean {
        if (limitPerSecond !== undefined) {
            condition.limitStatedAt = statedAt;
        }
        if (limitPerSecond === condition.limitPerSecond) {
            return false;
        }
        condition.limitStatedAt = statedAt;
        condition.limitPerSecond = limitPerSecond;
        this.opts.rateLimits.set(key, limitPerSecond);
        return true;
    }

    private sharedOf(key: string): SharedStatement[] {
        const condition = this.conditions.get(key);
        if (condition === undefined) {
            return [];
        }
        const { leavingSince, limitPerSecond, limitStatedAt } = condition;
        const isLeaving = leavingSince < Infinity;
        const statedAt = Math.max(isLeaving ? leavingSince : -Infinity, limitStatedAt);
        return Number.isFinite(statedAt)
            ? [{ target: key, isLeaving, limitPerSecond: limitPerSecond ?? null, ageMs: this.opts.now() - statedAt }]
            : [];
    }

    private reportInvalidHeaders(
        target: Target,
        { reportedHeaders }: StatedCondition,
        { invalidHeaders }: TargetStatement,
    ): void {
        for (const header of invalidHeaders) {
            this.opts.observer.onInvalidHeader(target, header, !reportedHeaders.has(header));
            reportedHeaders.add(header);
        }
    }

    private conditionOf(key: string): StatedCondition {
        let condition = this.conditions.get(key);
        if (condition === undefined) {
            condition = {
                leavingSince: Infinity,
                limitPerSecond: undefined,
                limitStatedAt: -Infinity,
                pause: new StatedPause(this.opts),
                reportedHeaders: new Set(),
            };
            this.conditions.set(key, condition);
        }
        return condition;
    }
}
