import type { PeerMesh, PeerMessage } from "@pistachioreel/peering";
import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { createHash } from "node:crypto";
import type { DeliveryObserver } from "./deliveryObserver.js";
import { type SuspectMessage, suspectMessageSchema } from "./suspectMessage.js";
import { TurnQueue } from "./turnQueue.js";

interface CrashSuspectsOptions {
    readonly hostId: string;
    /** Links to the other hosts; without it, suspects are known to this host only. */
    readonly mesh?: PeerMesh;
    readonly observe: DeliveryObserver;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

interface Suspect {
    readonly targets: Set<string>;
    readonly turns: TurnQueue;
    isRefused: boolean;
    expiresAt: number;
}

/** `free`: not a suspect. `turn`: a suspect that may run now, as the only one. */
type Entry = "free" | "turn";

const SUSPECT_MS = 600_000;
const MAX_SUSPECTS = 10_000;
const REFUSED_FROM_TARGETS = 2;
const TURN_TYPE = "suspect-turn";

/**
 * Requests whose target was lost while it ran them, shared with the other hosts. A suspect runs one at a time in the
 * fleet, with the turn of its home host; if a second target is lost in such a turn, it is refused everywhere.
 */
export class CrashSuspects {
    private readonly suspects = new Map<string, Suspect>();

    constructor(private readonly opts: CrashSuspectsOptions) {
        opts.mesh?.registerHandler("suspect", (_from, message) => this.receive(message));
        opts.mesh?.registerHandler(TURN_TYPE, (_from, message) => this.answerTurn(message));
    }

    /** Whether no request is a suspect, so that no digest needs to be computed. */
    get isEmpty(): boolean {
        return this.suspects.size === 0;
    }

    /** Waits until the request may run. Failure: `crashSuspect`, not run. */
    async awaitTurn(digest: string, deadlineAt: number): Promise<Result<Entry, Failure>> {
        while (this.find(digest) !== undefined) {
            const timeLeftMs = deadlineAt - this.opts.now();
            if (this.find(digest)?.isRefused === true || timeLeftMs <= 0) {
                this.opts.observe("suspect-refused");
                return err(new Failure("crashSuspect"));
            }
            const home = this.homeOf(digest);
            const answer = home === this.opts.hostId
                ? await this.waitForTurn(digest, timeLeftMs)
                : await this.askForTurn(home, digest, timeLeftMs);
            if (answer === "turn" || answer === "free") {
                return ok(answer);
            }
            if (answer === "unreachable") {
                return err(new Failure("crashSuspect", "the host that decides about the request cannot be reached"));
            }
        }
        return ok("free");
    }

    /** Takes note of a target that was lost while it ran the request. */
    recordLoss(digest: string, targetId: string, entry: Entry): void {
        const suspect = this.add(digest);
        suspect.targets.add(targetId);
        const isRefused = suspect.isRefused || entry === "turn" && suspect.targets.size >= REFUSED_FROM_TARGETS;
        this.opts.observe("suspect-loss", { fields: { target: targetId, refused: isRefused } });
        this.share({ digest, state: isRefused ? "refused" : "suspect", targets: [...suspect.targets] });
        if (entry === "turn" && !isRefused) {
            this.share({ digest, state: "ended", targets: [] });
        }
    }

    /** Ends a turn in which no target was lost. */
    endTurn(digest: string, isComplete: boolean): void {
        this.share({ digest, state: isComplete ? "cleared" : "ended", targets: [] });
    }

    private share(told: Omit<SuspectMessage, "type">): void {
        const message: SuspectMessage = { type: "suspect", ...told };
        this.apply(message);
        this.opts.mesh?.peers().forEach(({ hostId }) => this.opts.mesh?.send(hostId, message));
    }

    private receive(message: PeerMessage): void {
        const parsed = suspectMessageSchema.safeParse(message);
        if (parsed.success) {
            this.apply(parsed.data);
        }
    }

    private apply({ digest, state, targets }: SuspectMessage): void {
        if (state === "ended" || state === "cleared") {
            const suspect = this.find(digest);
            if (suspect?.isRefused === false && state === "cleared") {
                this.suspects.delete(digest);
                suspect.turns.releaseAll();
            }
            suspect?.turns.passOn();
            return;
        }
        const suspect = this.add(digest);
        targets.forEach(target => suspect.targets.add(target));
        if (state === "refused") {
            suspect.isRefused = true;
            suspect.turns.releaseAll();
        }
    }

    private async waitForTurn(digest: string, timeoutMs: number): Promise<Entry | "again"> {
        const suspect = this.find(digest);
        if (suspect === undefined) {
            return "free";
        }
        return await suspect.turns.wait(timeoutMs, timeoutMs) ? "turn" : "again";
    }

    private async askForTurn(
        home: string,
        digest: string,
        timeoutMs: number,
    ): Promise<Entry | "again" | "unreachable"> {
        const asked = await this.opts.mesh?.request(home, { type: TURN_TYPE, digest, timeoutMs }, timeoutMs);
        if (asked === undefined || asked.isErr()) {
            return "unreachable";
        }
        const { state } = asked.value;
        if (state === "refused") {
            this.add(digest).isRefused = true;
        }
        return state === "turn" || state === "free" ? state : "again";
    }

    private async answerTurn({ digest, timeoutMs }: PeerMessage): Promise<PeerMessage> {
        if (typeof digest !== "string" || typeof timeoutMs !== "number") {
            return { type: TURN_TYPE, state: "again" };
        }
        const state = await this.waitForTurn(digest, timeoutMs);
        return { type: TURN_TYPE, state: this.find(digest)?.isRefused === true ? "refused" : state };
    }

    /** The host with the highest rendezvous hash among those that this host has links to. */
    private homeOf(digest: string): string {
        const hosts = [this.opts.hostId, ...(this.opts.mesh?.peers() ?? []).map(({ hostId }) => hostId)];
        const rank = (host: string) => createHash("sha256").update(`${host}\n${digest}`).digest("hex");
        return hosts.map(host => ({ host, rank: rank(host) })).sort((a, b) => a.rank < b.rank ? 1 : -1)[0]?.host ?? "";
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

    private add(digest: string): Suspect {
        let suspect = this.find(digest);
        if (suspect === undefined) {
            const expiresAt = this.opts.now() + SUSPECT_MS;
            suspect = { targets: new Set(), turns: new TurnQueue(), isRefused: false, expiresAt };
            this.suspects.set(digest, suspect);
            const oldest = this.suspects.keys().next().value;
            if (this.suspects.size > MAX_SUSPECTS && oldest !== undefined) {
                this.suspects.delete(oldest);
            }
        }
        return suspect;
    }
}
