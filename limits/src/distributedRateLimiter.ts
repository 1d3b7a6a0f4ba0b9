import { type DemandReport, demandReportSchema } from "./demandReport.js";
import { type Loan, loanSchema } from "./loan.js";
import type { LoanPeer } from "./loanPeer.js";
import { type LoanRequest, loanRequestSchema } from "./loanRequest.js";
import { loanTerms } from "./loanTerms.js";
import type { ShareView } from "./shareView.js";
import { WorkspaceLimit } from "./workspaceLimit.js";

interface DistributedRateLimiterOptions {
    /** Id of this run of the process; changes with each start. */
    readonly incarnation: string;
    readonly availabilityZone: string;
    readonly view: ShareView;
    /** Limits in force by workspace. */
    readonly limits: () => Readonly<Record<string, { readonly rate: number; readonly burst: number; }>>;
    /** Monotonic time in ms. */
    readonly now: () => number;
    readonly random?: () => number;
}

interface OutgoingLoanRequest {
    readonly to: LoanPeer;
    readonly message: LoanRequest;
}

/** Largest number of owners that get requests in one round, which bounds the messages of large fleets. */
const MAX_LENDERS = 24;

/**
 * Rate limits of all workspaces at one host. Each host owns a share of every limit and lends the unused part of it to
 * other hosts. Call {@link prepareRequests} every 100 ms and whenever requests start to wait.
 */
export class DistributedRateLimiter {
    /** Tokens lent and borrowed since the process started. */
    readonly tokens = { lent: 0, borrowed: 0 };
    private readonly workspaces = new Map<string, WorkspaceLimit>();
    private readonly random: () => number;
    private share = 0;
    private pendingGrowth: { readonly share: number; readonly since: number; } | undefined;

    constructor(private readonly opts: DistributedRateLimiterOptions) {
        this.random = opts.random ?? Math.random;
    }

    /** The workspace's limit at this host; `undefined` if the workspace has none. */
    workspace(name: string): WorkspaceLimit | undefined {
        this.refreshShare();
        const limit = this.opts.limits()[name];
        const existing = this.workspaces.get(name);
        if (limit === undefined) {
            // The object is kept, because loans of it may still be in use when the workspace is configured again.
            existing?.assign({ rate: 0, capacity: 0 }, 0);
            return undefined;
        }
        const { now } = this.opts;
        const workspaceLimit = existing ?? new WorkspaceLimit({ workspace: name, now, random: this.random });
        this.workspaces.set(name, workspaceLimit);
        workspaceLimit.assign({ rate: limit.rate, capacity: limit.burst }, this.share);
        return workspaceLimit;
    }

    /** Messages to send now for some workspaces, by default all: at most one request and one return for each owner. */
    prepareRequests(peers: readonly LoanPeer[], names = Object.keys(this.opts.limits())): OutgoingLoanRequest[] {
        const lenders = this.chooseLenders(peers);
        const messages = new Map<string, OutgoingLoanRequest>();
        for (const name of names) {
            for (const [to, entry] of this.workspace(name)?.prepareRequests(lenders) ?? []) {
                const isReturn = entry.wantedTokens + entry.wantedCapacity === 0;
                const type = isReturn ? "loan-return" : "loan-request";
                const id = `${type} ${to.hostId}`;
                const outgoing = messages.get(id) ?? { to, message: { type, owner: to.incarnation, entries: [] } };
                outgoing.message.entries.push(entry);
                messages.set(id, outgoing);
            }
        }
        return [...messages.values()];
    }

    /** This host's share and its demand by workspace, which all peers get twice a second. */
    demandReport(): DemandReport {
        this.refreshShare();
        const demands = [...this.workspaces].map(([name, { demand }]) => [name, demand.own] as const);
        return { share: this.share, demands: Object.fromEntries(demands.filter(([, demand]) => demand > 0)) };
    }

    /** Handles a peer's report; a malformed one is ignored. */
    handleDemandReport(hostId: string, message: unknown): void {
        const report = demandReportSchema.safeParse(message).data;
        if (report === undefined) {
            return;
        }
        for (const name of Object.keys(this.opts.limits())) {
            this.workspace(name)?.demand.recordReport(hostId, report.demands[name] ?? 0, report.share);
        }
    }

    /**
     * Handles a `loan-request` or `loan-return` and returns the reply. `undefined` for returns, and for messages that
     * are malformed or meant for another incarnation of this host.
     */
    handleLoanRequest(from: LoanPeer, message: unknown): Loan | undefined {
        const request = loanRequestSchema.safeParse(message).data;
        if (request === undefined || request.owner !== this.opts.incarnation) {
            return undefined;
        }
        const entries = request.entries.flatMap(entry =>
            this.workspace(entry.workspace)?.handleRequest(from, entry) ?? []
        );
        this.tokens.lent += entries.reduce((sum, { tokens }) => sum + tokens, 0);
        return request.type === "loan-request" ? { type: "loan", borrower: from.incarnation, entries } : undefined;
    }

    /** Handles the reply to a `loan-request`; returns whether tokens came with it. */
    handleLoan(from: LoanPeer, message: unknown): boolean {
        const loan = loanSchema.safeParse(message).data;
        const entries = loan?.borrower === this.opts.incarnation ? loan.entries : [];
        const tokens = entries.reduce(
            (sum, entry) => sum + (this.workspace(entry.workspace)?.handleLoan(from, entry) ?? 0),
            0,
        );
        this.tokens.borrowed += tokens;
        return tokens > 0;
    }

    /** Owners of this host's availability zone first, then a random selection of the others. */
    private chooseLenders(peers: readonly LoanPeer[]): readonly LoanPeer[] {
        if (peers.length <= MAX_LENDERS) {
            return peers;
        }
        const rank = (peer: LoanPeer) => (peer.availabilityZone === this.opts.availabilityZone ? 0 : 1) + this.random();
        const ranked = peers.map(peer => ({ peer, rank: rank(peer) }));
        return ranked.sort((first, second) => first.rank - second.rank).slice(0, MAX_LENDERS).map(it => it.peer);
    }

    /** A smaller share applies at once, a larger one only when all loans that others granted of larger shares ended. */
    private refreshShare(): void {
        const { view, now } = this.opts;
        const share = view.ownsShare() && view.size > 0 ? 1 / view.size : 0;
        if (share <= this.share) {
            this.share = share;
            this.pendingGrowth = undefined;
            return;
        }
        if (this.pendingGrowth === undefined || share < this.pendingGrowth.share) {
            this.pendingGrowth = { share, since: now() };
        }
        if (now() - this.pendingGrowth.since >= loanTerms.reclaimAfterMs) {
            this.share = this.pendingGrowth.share;
            this.pendingGrowth = undefined;
        }
    }
}
