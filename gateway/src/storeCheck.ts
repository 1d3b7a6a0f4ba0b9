import type { Logger } from "@pistachioreel/logging";
import { comparePositions, type StorePosition } from "@pistachioreel/platform-store";
import type { Failure } from "@pistachioreel/result-code";
import type { Result } from "neverthrow";
import { setTimeout as sleep } from "node:timers/promises";
import type { FeedFollower } from "./feedFollower.js";
import type { StoreGate } from "./storeGate.js";

interface StoreCheckOptions {
    /** Reads the store's position on a new connection. */
    readonly readPosition: () => Promise<Result<StorePosition, Failure>>;
    readonly followers: readonly Pick<FeedFollower<unknown>, "confirmedPosition" | "catchUp" | "recordCheck">[];
    /** Whether this host follows the store; it checks nothing otherwise. */
    readonly gate: StoreGate;
    /** Position of this host among those that follow the store. */
    readonly followerIndex: () => number;
    /** Called after each check that the store has answered, so that the other hosts need not make one. */
    readonly onChecked: () => void;
    readonly logger: Logger;
    /** Monotonic time in ms. */
    readonly now: () => number;
    readonly signal: AbortSignal;
}

/** One of the hosts that follow the store checks it once the last check is this old. */
const MAX_CHECK_AGE_MS = 700;
/** Each host waits this much longer than the one before it, within which the others hear of its check. */
const TURN_MS = 100;
const MAX_TURN_MS = 700;
/** Share by which waits are longer at random, as all hosts from some position on wait for the same time. */
const JITTER = 0.2;
/** Watches get this time to deliver what a check has shown. */
const WATCH_GRACE_MS = 100;
const MIN_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 3_000;

/**
 * Finds changes that no watch delivers, as their connections have gone silent without having been closed: compares the
 * store's position with those of the feeds. The hosts take this work in turn: one that hears of a peer's recent check makes
 * none, since the peer reports the changes that it has found.
 */
export class StoreCheck {
    /** Monotonic time in ms at which the newest check that was answered had been sent, by this host or a peer. */
    private checkedAt: number;
    /** Monotonic time in ms of the newest check of another host; the start of this one before the first. */
    private peerCheckedAt: number;
    private ownCheckedAt = -Infinity;
    private jitter = 0;
    private failures = 0;
    /** Monotonic time in ms before which no check is made, after one without an answer. */
    private retryAt = -Infinity;

    constructor(private readonly opts: StoreCheckOptions) {
        this.checkedAt = this.peerCheckedAt = opts.now();
    }

    /** Age of this host's own newest check, in ms; infinite if there was none. */
    get ownAgeMs(): number {
        return this.opts.now() - this.ownCheckedAt;
    }

    /** Age of the newest check of another host, in ms; counted from this host's start if it has heard of none. */
    get peerAgeMs(): number {
        return this.opts.now() - this.peerCheckedAt;
    }

    /** Records a check that a linked host has made. */
    recordPeerCheck(ageMs: number): void {
        const checkedAt = this.opts.now() - ageMs;
        this.peerCheckedAt = Math.max(this.peerCheckedAt, checkedAt);
        this.recordCheck(checkedAt);
    }

    /** Checks the store at intervals until the signal aborts. */
    async run(): Promise<void> {
        const { gate, signal, now, logger } = this.opts;
        while (!signal.aborted) {
            await gate.waitUntilOpen(signal);
            const waitMs = Math.max(this.dueAt, this.retryAt) - now();
            if (waitMs > 0) {
                await this.pause(waitMs);
                continue;
            }
            try {
                await this.check();
            }
            catch (cause) {
                logger.error({ event: "store-check-failed", fields: { reason: String(cause) } });
                this.backOff();
            }
        }
    }

    private async check(): Promise<void> {
        const { readPosition, followers, now, onChecked, signal } = this.opts;
        const sentAt = now();
        const position = await readPosition();
        if (signal.aborted) {
            return;
        }
        if (position.isErr()) {
            this.backOff();
            return;
        }
        const isRecovery = this.failures > 0;
        this.failures = 0;
        const isBehind = ({ confirmedPosition }: StoreCheckOptions["followers"][number]) =>
            confirmedPosition !== undefined && comparePositions(confirmedPosition, position.value) < 0;
        followers.forEach(follower => follower.recordCheck({ sentAt, isRecovery, position: position.value }));
        if (followers.some(isBehind)) {
            await this.pause(WATCH_GRACE_MS);
            await Promise.all(followers.filter(isBehind).map(follower => follower.catchUp()));
        }
        this.ownCheckedAt = sentAt;
        this.recordCheck(sentAt);
        onChecked();
    }

    /** Monotonic time in ms at which this host checks if no other host has. */
    private get dueAt(): number {
        const turnMs = Math.min(MAX_TURN_MS, TURN_MS * this.opts.followerIndex());
        return this.checkedAt + MAX_CHECK_AGE_MS + turnMs * (1 + this.jitter);
    }

    private recordCheck(at: number): void {
        if (at > this.checkedAt) {
            this.checkedAt = at;
            this.jitter = Math.random() * JITTER;
        }
    }

    private backOff(): void {
        const backoffMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** this.failures++);
        this.retryAt = this.opts.now() + backoffMs * (0.5 + Math.random());
    }

    private async pause(ms: number): Promise<void> {
        await sleep(ms, undefined, { signal: this.opts.signal }).catch(() => undefined);
    }
}
