import type { PeerIdentity, PeerMesh, PeerMessage } from "@pistachioreel/peering";
import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { createHash } from "node:crypto";
import type { DeliveryObserver } from "./deliveryObserver.js";
import { LossEvidence } from "./lossEvidence.js";
import { type SuspectMessage, suspectMessageSchema } from "./suspectMessage.js";
import { TargetLosses } from "./targetLosses.js";
import { TurnQueue } from "./turnQueue.js";

interface CrashSuspectsOptions {
    readonly hostId: string;
    /** Connections to the other hosts; without it, suspects are known to this host only. */
    readonly mesh?: PeerMesh;
    /** Way to hosts without a link; without it, all hosts are linked. */
    readonly broadcast?: SuspectBroadcast;
    readonly observe: DeliveryObserver;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Sends messages to all hosts of the fleet. */
interface SuspectBroadcast {
    registerHandler(type: string, handler: (from: PeerIdentity, message: PeerMessage) => void): void;
    send(message: PeerMessage): void;
    /** Ids of the hosts that may coordinate repeats, all of them linked to this host or this host itself. */
    coordinators(): readonly string[];
}

interface AttemptTimes {
    readonly startedAt: number;
    readonly endedAt: number;
}

interface Suspect {
    readonly evidence: LossEvidence;
    readonly turns: TurnQueue;
    isRefused: boolean;
    /** Monotonic time in ms. */
    expiresAt: number;
}

/** `free`: not a suspect. `turn`: a suspect that may run now, while no repeat of it does. */
type Admission = "free" | "turn";

const SUSPECT_LIFETIME_MS = 600_000;
const MAX_SUSPECTS = 10_000;
/** A suspect is refused when at least this many targets have been lost, the last of them during a turn. */
const REFUSAL_THRESHOLD_TARGETS = 2;
/** Stands for the sender of a message that does not name it. */
const UNKNOWN_HOST = "";
const TURN_MESSAGE_TYPE = "suspect-turn";

/**
 * Requests whose target was lost while running them, shared with the other hosts. Repeats of a suspect run one at a
 * time in the whole fleet: its coordinating host grants them turns. If a second target is lost in such a turn, all
 * hosts refuse the request. A host withdraws a loss that had another cause.
 */
export class CrashSuspects {
    private readonly suspects = new Map<string, Suspect>();
    private readonly losses: TargetLosses;

    constructor(private readonly opts: CrashSuspectsOptions) {
        this.losses = new TargetLosses({ now: opts.now });
        (opts.broadcast ?? opts.mesh)?.registerHandler("suspect", (_from, message) => this.handleMessage(message));
        opts.mesh?.registerHandler(TURN_MESSAGE_TYPE, (_from, message) => this.handleTurnRequest(message));
    }

    /** Whether there are no suspects, so that no digests need to be computed. */
    get isEmpty(): boolean {
        return this.suspects.size === 0;
    }

    /** Whether the request is a suspect, which may run in a turn only. */
    isSuspect(digest: string): boolean {
        return this.find(digest) !== undefined;
    }

    /** Waits until the request may run. Failure: `crashSuspect`, not run. */
    async awaitTurn(digest: string, deadlineAt: number): Promise<Result<Admission, Failure>> {
        const unreachable = new Set<string>();
        while (this.find(digest) !== undefined) {
            const timeLeftMs = deadlineAt - this.opts.now();
            if (this.find(digest)?.isRefused === true || timeLeftMs <= 0) {
                this.reportRefusal(digest);
                return err(new Failure("crashSuspect"));
            }
            const coordinator = this.coordinatorOf(digest, unreachable);
            const decision = coordinator === this.opts.hostId
                ? await this.waitForLocalTurn(digest, timeLeftMs)
                : await this.requestTurn(coordinator, digest, timeLeftMs);
            if (decision === "turn" || decision === "free") {
                return ok(decision);
            }
            if (decision === "unreachable") {
                unreachable.add(coordinator);
                const waitedMs = Math.round(timeLeftMs - (deadlineAt - this.opts.now()));
                this.opts.observe("suspect-coordinator-lost", { fields: { coordinator, waitedMs } });
            }
        }
        return ok("free");
    }

    /**
     * Adds to the excluded targets those that the request must not be sent to. In a turn these are the targets that were
     * lost recently, as a further loss of one of them would be no evidence and let the request crash another target.
     */
    withTargetsToAvoid(excluded: ReadonlySet<string>, admission: Admission): ReadonlySet<string> {
        const avoided = admission === "turn" ? this.losses.recent : [];
        return avoided.length === 0 ? excluded : new Set([...excluded, ...avoided]);
    }

    /**
     * Records that a target was lost while it ran the request, so that repeats need a turn. In a turn, it is no evidence
     * against the request if the target had been lost before the attempt, by this request or another one.
     *
     * @param attempt When the attempt started and ended, as monotonic times in ms; a probe may have followed.
     */
    recordLoss(digest: string, targetId: string, admission: Admission, attempt: AttemptTimes): void {
        if (admission === "turn" && this.losses.wasLostBefore(targetId, attempt.startedAt)) {
            this.opts.observe("suspect-loss-ignored", { fields: { target: targetId } });
            this.endTurn(digest, false);
            return;
        }
        const lostMs = Math.max(0, this.opts.now() - attempt.endedAt);
        this.losses.record(targetId, lostMs);
        const suspect = this.findOrAdd(digest);
        const { hostId } = this.opts;
        suspect.evidence.add({ targetId, hostId, lostAt: attempt.endedAt });
        const isRefused = suspect.isRefused ||
            admission === "turn" && suspect.evidence.targetIds.size >= REFUSAL_THRESHOLD_TARGETS;
        this.opts.observe("suspect-loss", { fields: { target: targetId, refused: isRefused } });
        const targets = suspect.evidence.ofHost(hostId).map(loss => loss.targetId);
        this.publish({ digest, state: isRefused ? "refused" : "suspect", targets, lostMs });
        if (admission === "turn" && !isRefused) {
            this.publish({ digest, state: "ended", targets: [] });
        }
    }

    /** Withdraws this host's losses of a target that has turned out to be running. */
    withdrawTarget(lostId: string): void {
        this.withdraw("reachable", ({ targetId }) => targetId === lostId);
    }

    /** Withdraws this host's losses since a monotonic time in ms, as this host has turned out to be cut off. */
    withdrawSince(since: number): void {
        this.withdraw("cutOff", ({ lostAt }) => lostAt >= since);
    }

    /** Ends a turn in which no target was lost. `isComplete`: the request ran, so it is no longer a suspect. */
    endTurn(digest: string, isComplete: boolean): void {
        this.publish({ digest, state: isComplete ? "cleared" : "ended", targets: [] });
    }

    private withdraw(
        reason: string,
        isWithdrawn: (loss: { readonly targetId: string; readonly lostAt: number; }) => boolean,
    ): void {
        for (const [digest, { evidence }] of [...this.suspects]) {
            const targets = evidence.ofHost(this.opts.hostId).filter(isWithdrawn).map(({ targetId }) => targetId);
            if (targets.length > 0) {
                this.opts.observe("suspect-withdrawn", { fields: { targets: targets.join(","), reason } });
                this.publish({ digest, state: "withdrawn", targets });
            }
        }
    }

    private reportRefusal(digest: string): void {
        const losses = this.suspects.get(digest)?.evidence.describe(this.opts.now()) ?? "";
        this.opts.observe("suspect-refused", { fields: { losses } });
    }

    private publish(update: Omit<SuspectMessage, "type" | "host">): void {
        const message: SuspectMessage = { type: "suspect", host: this.opts.hostId, ...update };
        this.apply(message);
        const { broadcast, mesh } = this.opts;
        if (broadcast !== undefined) {
            broadcast.send(message);
            return;
        }
        mesh?.peers().forEach(({ hostId }) => mesh.send(hostId, message));
    }

    private handleMessage(message: PeerMessage): void {
        const parsed = suspectMessageSchema.safeParse(message);
        if (parsed.success) {
            this.apply(parsed.data);
        }
    }

    private apply(message: SuspectMessage): void {
        switch (message.state) {
            case "suspect":
            case "refused":
                this.applyLosses(message);
                break;
            case "withdrawn":
                this.applyWithdrawal(message);
                break;
            default:
                this.applyTurnEnd(message);
        }
    }

    private applyLosses({ digest, state, targets, lostMs = 0, host = UNKNOWN_HOST }: SuspectMessage): void {
        const suspect = this.findOrAdd(digest);
        const lostAt = this.opts.now() - lostMs;
        const known = suspect.evidence.targetIds;
        for (const targetId of targets) {
            if (!known.has(targetId)) {
                this.losses.record(targetId, lostMs);
            }
            suspect.evidence.add({ targetId, hostId: host, lostAt });
        }
        if (state === "refused") {
            suspect.isRefused = true;
            suspect.turns.releaseAll();
        }
    }

    /** Ends the refusal, or the suspicion, if too few losses remain for it. */
    private applyWithdrawal({ digest, targets, host = UNKNOWN_HOST }: SuspectMessage): void {
        targets.forEach(targetId => this.losses.forget(targetId));
        const suspect = this.find(digest);
        if (suspect?.evidence.withdraw(host, targets) !== true) {
            return;
        }
        const remaining = suspect.evidence.targetIds.size;
        if (remaining < REFUSAL_THRESHOLD_TARGETS) {
            suspect.isRefused = false;
        }
        if (remaining === 0) {
            this.suspects.delete(digest);
            suspect.turns.releaseAll();
        }
    }

    private applyTurnEnd({ digest, state }: SuspectMessage): void {
        const suspect = this.find(digest);
        if (suspect?.isRefused === false && state === "cleared") {
            this.suspects.delete(digest);
            suspect.turns.releaseAll();
        }
        suspect?.turns.passOn();
    }

    /**
     * Waits for a turn of a suspect that this host coordinates. `free`: it is not a suspect any more. `again`: there
     * was no turn in time, or its state has changed and must be checked again.
     */
    private async waitForLocalTurn(digest: string, timeoutMs: number): Promise<Admission | "again"> {
        const suspect = this.find(digest);
        if (suspect === undefined) {
            return "free";
        }
        return await suspect.turns.wait(timeoutMs, timeoutMs) ? "turn" : "again";
    }

    /** Requests a turn from the coordinating host, which waits for it with {@link waitForLocalTurn}. */
    private async requestTurn(
        coordinator: string,
        digest: string,
        timeoutMs: number,
    ): Promise<Admission | "again" | "unreachable"> {
        const reply = await this.opts.mesh?.request(
            coordinator,
            { type: TURN_MESSAGE_TYPE, digest, timeoutMs },
            timeoutMs,
        );
        if (reply === undefined || reply.isErr()) {
            return "unreachable";
        }
        const { state } = reply.value;
        if (state === "refused") {
            this.findOrAdd(digest).isRefused = true;
        }
        return state === "turn" || state === "free" ? state : "again";
    }

    private async handleTurnRequest({ digest, timeoutMs }: PeerMessage): Promise<PeerMessage> {
        if (typeof digest !== "string" || typeof timeoutMs !== "number") {
            return { type: TURN_MESSAGE_TYPE, state: "again" };
        }
        const state = await this.waitForLocalTurn(digest, timeoutMs);
        return { type: TURN_MESSAGE_TYPE, state: this.find(digest)?.isRefused === true ? "refused" : state };
    }

    /**
     * The host with the highest rendezvous hash among those that may coordinate, by default all linked hosts; this host if it
     * reaches none of them.
     */
    private coordinatorOf(digest: string, unreachable: ReadonlySet<string>): string {
        const { hostId, mesh, broadcast } = this.opts;
        const linked = (mesh?.peers() ?? []).map(peer => peer.hostId);
        const hosts = (broadcast?.coordinators() ?? [hostId, ...linked]).filter(host => !unreachable.has(host));
        const rank = (host: string) => createHash("sha256").update(`${host}\n${digest}`).digest("hex");
        const [first] = hosts.map(host => ({ host, rank: rank(host) })).sort((a, b) => a.rank < b.rank ? 1 : -1);
        return first?.host ?? hostId;
    }

    private find(digest: string): Suspect | undefined {
        const suspect = this.suspects.get(digest);
        if (suspect !== undefined && suspect.expiresAt <= this.opts.now()) {
            this.suspects.delete(digest);
            suspect.turns.releaseAll();
            return undefined;
        }
        return suspect;
    }

    private findOrAdd(digest: string): Suspect {
        let suspect = this.find(digest);
        if (suspect === undefined) {
            const expiresAt = this.opts.now() + SUSPECT_LIFETIME_MS;
            suspect = { evidence: new LossEvidence(), turns: new TurnQueue(), isRefused: false, expiresAt };
            this.suspects.set(digest, suspect);
            const oldest = this.suspects.keys().next().value;
            if (this.suspects.size > MAX_SUSPECTS && oldest !== undefined) {
                this.suspects.delete(oldest);
            }
        }
        return suspect;
    }
}
