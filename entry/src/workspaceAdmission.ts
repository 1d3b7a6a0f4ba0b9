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
    readonly retryAfterSeconds: number;
}

interface WaitingRequest {
    readonly until: number;
    readonly resolve: (admission: Admission) => void;
}

const MS_PER_SECOND = 1_000;
const MAX_RETRY_AFTER_SECONDS = 60;
/** A few exchanges with the host that is farthest away. */
const WAIT_MS = 200;
const SERVE_INTERVAL_MS = 10;
const MAX_WAITING = 128;

/** Admits requests of workspaces within their rate and burst over all hosts. */
export class WorkspaceAdmission {
    private readonly ledger: DistributedRateLimiter;
    private readonly exchange: LoanExchange;
    private readonly waiting = new Map<string, WaitingRequest[]>();
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly opts: WorkspaceAdmissionOptions) {
        const { identity, state, view, mesh, now } = opts;
        const limits = () => state.configuration?.rules.workspaces ?? {};
        this.ledger = new DistributedRateLimiter({ ...identity, view, limits, now });
        this.exchange = new LoanExchange({ mesh, ledger: this.ledger, onTokensReceived: () => this.serve() });
        opts.metrics.collectLoans(() => ({ ...this.ledger.tokens, messages: this.exchange.sentMessages }));
    }

    /** Starts to lend and borrow until the signal aborts. */
    start(signal: AbortSignal): void {
        this.exchange.start(signal);
    }

    /** Takes a token of the workspace; waits for a loan, at most 200 ms, while one can be expected. */
    async admit(workspace: string): Promise<Admission> {
        const limit = this.ledger.workspace(workspace);
        if (limit === undefined) {
            return { admitted: false, retryAfterSeconds: 1 };
        }
        limit.demand.count();
        const queue = this.waiting.get(workspace) ?? [];
        if (queue.length === 0 && limit.tryTake()) {
            return { admitted: true, retryAfterSeconds: 0 };
        }
        if (queue.length >= MAX_WAITING || !limit.canExpectTokens) {
            return this.refusal(workspace, limit);
        }
        return new Promise(resolve => {
            queue.push({ until: this.opts.now() + WAIT_MS, resolve });
            this.waiting.set(workspace, queue);
            limit.waiting = queue.length;
            this.exchange.sendDueMessages([workspace]);
            this.timer ??= setInterval(() => this.serve(), SERVE_INTERVAL_MS);
        });
    }

    /** Admits waiting requests in their order, refuses those that waited too long and asks for the rest. */
    private serve(): void {
        for (const [workspace, queue] of this.waiting) {
            const limit = this.ledger.workspace(workspace);
            while (queue.length > 0 && limit?.tryTake()) {
                queue.shift()?.resolve({ admitted: true, retryAfterSeconds: 0 });
            }
            while (queue[0] !== undefined && (limit === undefined || queue[0].until <= this.opts.now())) {
                queue.shift()?.resolve(this.refusal(workspace, limit));
            }
            if (limit !== undefined) {
                limit.waiting = queue.length;
            }
            if (queue.length === 0) {
                this.waiting.delete(workspace);
            }
        }
        if (this.waiting.size > 0) {
            this.exchange.sendDueMessages([...this.waiting.keys()]);
        }
        else {
            clearInterval(this.timer);
            this.timer = undefined;
        }
    }

    private refusal(workspace: string, limit: WorkspaceLimit | undefined): Admission {
        this.opts.metrics.rateRefusals.inc({ workspace, inside: String(limit?.isWithinRate ?? false) });
        const seconds = Math.ceil((limit?.waitMs ?? MS_PER_SECOND) / MS_PER_SECOND);
        return { admitted: false, retryAfterSeconds: Math.min(MAX_RETRY_AFTER_SECONDS, Math.max(1, seconds)) };
    }
}
