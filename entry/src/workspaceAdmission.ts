import { DistributedRateLimiter, type ShareView, type WorkspaceLimit } from "@pistachioreel/limits";
import type { PeerIdentity, PeerMesh } from "@pistachioreel/peering";
import type { EntryMetrics } from "./entryMetrics.js";
import type { FleetState } from "./fleetState.js";
import { LoanExchange } from "./loanExchange.js";

interface WorkspaceAdmissionOptions {
    readonly identity: PeerIdentity;
    readonly state: FleetState;
    readonly view: ShareView;
    readonly mesh: PeerMesh;
    readonly metrics: EntryMetrics;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

interface Admission {
    readonly admitted: boolean;
    /** 0 if the request is admitted. */
    readonly retryAfterSeconds: number;
}

interface WaitingRequest {
    /** Monotonic time in ms after which the request is refused. */
    readonly expiresAt: number;
    readonly resolve: (admission: Admission) => void;
}

const MS_PER_SECOND = 1_000;
const MAX_RETRY_AFTER_SECONDS = 60;
/** Allows for a few round trips to the most distant host. */
const MAX_WAIT_MS = 200;
const QUEUE_CHECK_INTERVAL_MS = 10;
const MAX_WAITING_PER_WORKSPACE = 128;

/** Admission control: enforces the rate and burst of each workspace across all hosts. */
export class WorkspaceAdmission {
    private readonly limiter: DistributedRateLimiter;
    private readonly exchange: LoanExchange;
    private readonly queues = new Map<string, WaitingRequest[]>();
    private queueTimer: NodeJS.Timeout | undefined;

    constructor(private readonly opts: WorkspaceAdmissionOptions) {
        const { identity, state, view, mesh, now } = opts;
        const limits = () => state.configuration?.rules.workspaces ?? {};
        this.limiter = new DistributedRateLimiter({ ...identity, view, limits, now });
        this.exchange = new LoanExchange({ mesh, limiter: this.limiter, onTokensReceived: () => this.processQueues() });
        opts.metrics.collectLoans(() => ({ ...this.limiter.tokens, messages: this.exchange.sentMessages }));
    }

    /** Lends tokens to other hosts and borrows from them until the signal aborts. */
    start(signal: AbortSignal): void {
        this.exchange.start(signal);
    }

    /** Takes a token of the workspace. If none is left but a loan is likely, waits for one for up to 200 ms. */
    async admit(workspace: string): Promise<Admission> {
        const limit = this.limiter.workspace(workspace);
        if (limit === undefined) {
            return { admitted: false, retryAfterSeconds: 1 };
        }
        limit.demand.count();
        const queue = this.queues.get(workspace) ?? [];
        if (queue.length === 0 && limit.tryTake()) {
            return { admitted: true, retryAfterSeconds: 0 };
        }
        if (queue.length >= MAX_WAITING_PER_WORKSPACE || !limit.canExpectTokens) {
            return this.refuse(workspace, limit);
        }
        return new Promise(resolve => {
            queue.push({ expiresAt: this.opts.now() + MAX_WAIT_MS, resolve });
            this.queues.set(workspace, queue);
            limit.waiting = queue.length;
            this.exchange.sendDueMessages([workspace]);
            this.queueTimer ??= setInterval(() => this.processQueues(), QUEUE_CHECK_INTERVAL_MS);
        });
    }

    /** Admits waiting requests in FIFO order, refuses those that have expired and requests loans for the rest. */
    private processQueues(): void {
        for (const [workspace, queue] of this.queues) {
            const limit = this.limiter.workspace(workspace);
            while (queue.length > 0 && limit?.tryTake()) {
                queue.shift()?.resolve({ admitted: true, retryAfterSeconds: 0 });
            }
            while (queue[0] !== undefined && (limit === undefined || queue[0].expiresAt <= this.opts.now())) {
                queue.shift()?.resolve(this.refuse(workspace, limit));
            }
            if (limit !== undefined) {
                limit.waiting = queue.length;
            }
            if (queue.length === 0) {
                this.queues.delete(workspace);
            }
        }
        if (this.queues.size > 0) {
            this.exchange.sendDueMessages([...this.queues.keys()]);
        }
        else {
            clearInterval(this.queueTimer);
            this.queueTimer = undefined;
        }
    }

    /** Counts the refusal and computes when the caller should retry. */
    private refuse(workspace: string, limit: WorkspaceLimit | undefined): Admission {
        this.opts.metrics.rateRefusals.inc({ workspace, inside: String(limit?.isWithinRate ?? false) });
        const seconds = Math.ceil((limit?.waitMs ?? MS_PER_SECOND) / MS_PER_SECOND);
        return { admitted: false, retryAfterSeconds: Math.min(MAX_RETRY_AFTER_SECONDS, Math.max(1, seconds)) };
    }
}
