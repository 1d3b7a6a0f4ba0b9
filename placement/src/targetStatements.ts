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
}

interface StatedCondition {
    isLeaving: boolean;
    /** Monotonic time in ms. */
    pausedUntil: number;
    limitPerSecond: number | undefined;
    /** Monotonic time in ms of the newest statement about the limit. */
    limitStatedAt: number;
    /** Headers of which an invalid value has been reported. */
    readonly reportedHeaders: Set<string>;
}

/** What each incarnation of a target has last stated of itself in its responses. */
export class TargetStatements {
    private readonly conditions = new Map<string, StatedCondition>();

    constructor(private readonly opts: TargetStatementsOptions) {}

    /**
     * Records what a response states.
     *
     * @param sentAt Monotonic time in ms at which its request was sent. A response without a limit ends the limit only
     * if its request was sent after the limit was stated: responses can arrive in another order than they were made.
     */
    record(target: Target, statement: TargetStatement, sentAt: number): void {
        const condition = this.conditionOf(target);
        this.reportInvalidHeaders(target, condition, statement);
        if (statement.isLeaving && !condition.isLeaving) {
            condition.isLeaving = true;
            this.opts.observer.onStatement(target, "leaving");
        }
        if (statement.pauseMs !== undefined) {
            this.recordPause(target, condition, statement.pauseMs);
        }
        this.recordLimit(target, condition, statement.limitPerSecond, sentAt);
    }

    /** Removes the statements of all other targets. */
    retain(targets: readonly Target[]): void {
        const keys = new Set(targets.map(targetKey));
        [...this.conditions.keys()].filter(key => !keys.has(key)).forEach(key => this.conditions.delete(key));
        this.opts.rateLimits.retain(targets);
    }

    private recordPause(target: Target, condition: StatedCondition, pauseMs: number): void {
        const now = this.opts.now();
        if (condition.pausedUntil <= now) {
            this.opts.observer.onStatement(target, "pause", pauseMs);
        }
        condition.pausedUntil = Math.max(condition.pausedUntil, now + pauseMs);
    }

    private recordLimit(
        target: Target,
        condition: StatedCondition,
        limitPerSecond: number | undefined,
        sentAt: number,
    ): void {
        if (limitPerSecond === undefined && sentAt <= condition.limitStatedAt) {
            return;
        }
        if (limitPerSecond !== undefined) {
            condition.limitStatedAt = this.opts.now();
        }
        if (limitPerSecond !== condition.limitPerSecond) {
            condition.limitPerSecond = limitPerSecond;
            this.opts.rateLimits.set(target, limitPerSecond);
            this.opts.observer.onStatement(
                target,
                limitPerSecond === undefined ? "unlimited" : "limit",
                limitPerSecond,
            );
        }
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

    private conditionOf(target: Target): StatedCondition {
        const key = targetKey(target);
        let condition = this.conditions.get(key);
        if (condition === undefined) {
            condition = {
                isLeaving: false,
                pausedUntil: -Infinity,
                limitPerSecond: undefined,
                limitStatedAt: -Infinity,
                reportedHeaders: new Set(),
            };
            this.conditions.set(key, condition);
        }
        return condition;
    }
}
