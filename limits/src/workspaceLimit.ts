import { BorrowedAccount } from "./borrowedAccount.js";
import { LentAccounts } from "./lentAccounts.js";
import type { Loan } from "./loan.js";
import type { LoanPeer } from "./loanPeer.js";
import type { LoanRequest } from "./loanRequest.js";
import { LoanRequestPacer } from "./loanRequestPacer.js";
import { loanTerms } from "./loanTerms.js";
import type { Quota } from "./quota.js";
import { TokenBucket } from "./tokenBucket.js";
import { WorkspaceDemand } from "./workspaceDemand.js";

interface WorkspaceLimitOptions {
    readonly workspace: string;
    /** Monotonic time in ms. */
    readonly now: () => number;
    readonly random: () => number;
}

type RequestEntry = LoanRequest["entries"][number];
type LoanEntry = Loan["entries"][number];

const MS_PER_SECOND = 1_000;
/** An owner does not lend the tokens that it needs for its own demand within this time. */
const RESERVE_MS = 100;
/** A host requests tokens when it has fewer than it needs for its own demand within this time, plus one. */
const LOW_WATER_MS = 200;
/** Loans are adjusted when they differ from what the demand needs by more than this fraction of the larger value. */
const MIN_RELATIVE_ADJUSTMENT = 0.2;
/** Differences of at most this fraction of the limit are ignored. */
const MIN_ADJUSTMENT_SHARE = 0.005;
/** Minimum time after any request to an owner before one that only adjusts the loan. */
const ADJUST_INTERVAL_MS = 200;
/** The same after a reply that did not increase the loan. */
const NO_INCREASE_ADJUST_INTERVAL_MS = 1_000;
const NONE: Quota = { rate: 0, capacity: 0 };

/**
 * Rate limit of one workspace at one host: the share that the host owns, what it has lent of that share, what it has
 * borrowed from other hosts, and the token bucket that results.
 */
export class WorkspaceLimit {
    readonly demand: WorkspaceDemand;
    /** Number of requests that wait for a token; set by the caller. */
    waiting = 0;
    private readonly bucket: TokenBucket;
    private readonly lent = new LentAccounts();
    private readonly borrowed = new Map<string, BorrowedAccount>();
    private readonly pacer: LoanRequestPacer;
    private limit: Quota = NONE;
    private share = 0;
    private advancedAt: number;

    constructor(private readonly opts: WorkspaceLimitOptions) {
        this.demand = new WorkspaceDemand(opts.now);
        this.pacer = new LoanRequestPacer(opts);
        this.bucket = new TokenBucket({ ...NONE, tokens: 0, now: opts.now });
        this.advancedAt = opts.now();
    }

    /** Sets the workspace's limit over all hosts and the share of it that this host owns, from 0 to 1. */
    assign(limit: Quota, share: number): void {
        this.advance();
        this.limit = limit;
        this.share = share;
        this.resize();
    }

    /** Takes a token if the local bucket has one; never contacts other hosts. */
    tryTake(): boolean {
        this.advance();
        return this.bucket.tryTake();
    }

    /** Time until this host has a token without borrowing one, in ms. */
    get waitMs(): number {
        this.advance();
        return this.bucket.waitMs;
    }

    /** Tokens in the local bucket. */
    get tokens(): number {
        this.advance();
        return this.bucket.level;
    }

    /** Whether the known demand of all hosts is within the workspace's rate. */
    get isWithinRate(): boolean {
        return this.demand.total <= this.limit.rate;
    }

    /** Whether other hosts are likely to lend tokens, so that a request is worth queueing. */
    get canExpectTokens(): boolean {
        return this.isWithinRate || !this.pacer.isExhausted;
    }

    /** Rate and capacity that this host can use now: what it owns and has not lent, and what it has borrowed. */
    get effectiveLimit(): Quota {
        this.advance();
        return { rate: this.ownRate + this.sumBorrowed().rate, capacity: this.bucket.capacity };
    }

    /** Rate and capacity that this host has lent to others. */
    get lentTotal(): Quota {
        this.advance();
        return this.lent.total;
    }

    /** Rate and capacity that this host has borrowed from others. */
    get borrowedTotal(): Quota {
        this.advance();
        return this.sumBorrowed();
    }

    /** Entries to send to the owners now. Entries that want nothing belong into a `loan-return`. */
    prepareRequests(peers: readonly LoanPeer[]): Map<LoanPeer, RequestEntry> {
        this.advance();
        const wanted = this.wantedShares(peers);
        const missing = this.missingTokens;
        const tokensPerPeer = this.pacer.start(missing);
        const entries = new Map<LoanPeer, RequestEntry>();
        for (const peer of peers) {
            const share = wanted.get(peer) ?? 0;
            const entry = this.prepareRequest(peer, share, tokensPerPeer);
            if (entry !== undefined) {
                entries.set(peer, entry);
            }
        }
        return entries;
    }

    /** Handles a borrower's request or return. Returns a loan only for a request, and only if it is the newest one. */
    handleRequest(from: LoanPeer, entry: RequestEntry): LoanEntry | undefined {
        this.advance();
        const borrower = `${from.hostId}/${from.incarnation}`;
        const held = { rate: entry.heldRate, capacity: entry.heldCapacity };
        const returned = this.lent.recordHeld(borrower, entry.sequence, held, this.opts.now());
        if (returned === undefined) {
            return undefined;
        }
        this.demand.recordReport(from.hostId, entry.demand, this.demand.shareOf(from.hostId, this.share));
        this.resize();
        this.bucket.add(Math.min(returned, entry.returnedTokens));
        return entry.wantedCapacity + entry.wantedTokens > 0 ? this.lend(borrower, entry) : undefined;
    }

    /** Handles an owner's reply; returns the number of tokens that came with it. */
    handleLoan(from: LoanPeer, entry: LoanEntry): number {
        this.advance();
        const account = this.borrowed.get(from.hostId);
        const previous = account?.held ?? NONE;
        this.demand.recordReport(from.hostId, entry.demand, entry.share);
        if (
            account?.ownerIncarnation !== from.incarnation ||
            !account.handleLoan(entry.sequence, entry, this.opts.now())
        ) {
            return 0;
        }
        if (entry.rate <= previous.rate && entry.capacity <= previous.capacity) {
            account.adjustAfter = this.opts.now() + NO_INCREASE_ADJUST_INTERVAL_MS;
        }
        this.resize();
        this.bucket.add(entry.tokens);
        this.pacer.recordReply(entry.tokens);
        return entry.tokens;
    }

    private lend(borrower: string, entry: RequestEntry): LoanEntry {
        const { rate, capacity } = this.lent.total;
        const held = this.lent.lentTo(borrower);
        const neededShare = this.neededShare;
        const lendable = (share: number, others: number) => Math.max(0, share - others);
        const owned = this.owned;
        const rateLeft = lendable(owned.rate, rate - held.rate);
        const capacityLeft = lendable(owned.capacity, capacity - held.capacity);
        const grantedRate = Math.min(entry.wantedRate, lendable(rateLeft, neededShare * this.limit.rate));
        const grantedCapacity = Math.min(
            entry.wantedCapacity,
            lendable(capacityLeft, neededShare * this.limit.capacity),
        );
        const lendableTokens = Math.min(entry.wantedTokens, Math.max(0, this.bucket.level - this.reserve));
        // Tokens are sent with at least as much capacity; otherwise the owner could refill while they are in transit.
        const newCapacity = Math.min(
            capacityLeft,
            Math.max(grantedCapacity, lendableTokens > 0 ? held.capacity + lendableTokens : 0),
        );
        const addedCapacity = Math.max(0, newCapacity - held.capacity);
        const granted = { rate: grantedRate, capacity: newCapacity };
        const lentTokens = this.bucket.remove(Math.min(lendableTokens, addedCapacity));
        // Tokens above the capacity that remains here would be lost; the borrower gets those it has capacity for.
        const overflow = this.bucket.level - this.ownCapacityAfter(held, granted);
        const tokens = lentTokens + this.bucket.remove(Math.min(overflow, addedCapacity - lentTokens));
        this.lent.grant(borrower, granted, this.opts.now());
        this.resize();
        const { workspace, sequence } = entry;
        return { workspace, sequence, ...granted, tokens, share: this.share, demand: this.demand.own };
    }

    private ownCapacityAfter(held: Quota, granted: Quota): number {
        return this.bucket.capacity - Math.max(0, granted.capacity - held.capacity);
    }

    private prepareRequest(peer: LoanPeer, share: number, tokens: number): RequestEntry | undefined {
        const now = this.opts.now();
        const account = this.accountWith(peer);
        const wanted = { rate: share * this.limit.rate, capacity: share * this.limit.capacity };
        const isRenewal = account.held.capacity > 0 && now >= account.expiresAt - loanTerms.ttlMs / 2;
        const isAdjustment = now >= account.adjustAfter && this.needsAdjustment(account.held, wanted);
        if (!(tokens > 0 || isRenewal || isAdjustment) || account.isAwaitingReply(now)) {
            return undefined;
        }
        const returnedTokens = this.returnExcess(account, wanted);
        const { rate, capacity } = account.held;
        const wantedCapacity = Math.max(capacity, wanted.capacity);
        const expectsReply = wantedCapacity + tokens > 0;
        account.adjustAfter = now + ADJUST_INTERVAL_MS;
        if (tokens > 0) {
            this.pacer.recordRequest();
        }
        return {
            workspace: this.opts.workspace,
            sequence: account.startRequest(now, expectsReply),
            heldRate: rate,
            heldCapacity: capacity,
            returnedTokens,
            wantedRate: wanted.rate,
            wantedCapacity,
            wantedTokens: tokens,
            demand: this.demand.own,
        };
    }

    private needsAdjustment(held: Quota, wanted: Quota): boolean {
        const { empty, tokens } = this.returnable(held, wanted);
        return this.differsSignificantly(held.rate, wanted.rate, this.limit.rate)
            || this.differsSignificantly(Math.min(held.capacity, wanted.capacity), wanted.capacity, this.limit.capacity)
            || this.differsSignificantly(held.capacity, held.capacity - empty - tokens, this.limit.capacity);
    }

    /** Excess capacity that can be returned: the empty part of it, and the part that holds tokens not needed here. */
    private returnable(held: Quota, wanted: Quota): { empty: number; tokens: number; } {
        const excess = Math.max(0, held.capacity - wanted.capacity);
        const { level, capacity } = this.bucket;
        const empty = Math.min(excess, capacity - level);
        return { empty, tokens: Math.min(excess - empty, Math.max(0, level - this.lowWater)) };
    }

    /** Releases what is held beyond what is wanted; returns the number of tokens to send back with it. */
    private returnExcess(account: BorrowedAccount, wanted: Quota): number {
        const { empty, tokens } = this.returnable(account.held, wanted);
        const returned = this.bucket.remove(tokens);
        account.held = {
            rate: Math.min(account.held.rate, wanted.rate),
            capacity: Math.max(0, account.held.capacity - empty - returned),
        };
        this.resize();
        return returned;
    }

    private accountWith(peer: LoanPeer): BorrowedAccount {
        const existing = this.borrowed.get(peer.hostId);
        if (existing?.ownerIncarnation === peer.incarnation) {
            return existing;
        }
        const account = new BorrowedAccount(peer.incarnation);
        this.borrowed.set(peer.hostId, account);
        this.resize();
        return account;
    }

    /** Share of the limit to borrow from each owner, so that all hosts hold shares in proportion to their demand. */
    private wantedShares(peers: readonly LoanPeer[]): Map<LoanPeer, number> {
        const { total } = this.demand;
        const missing = Math.max(0, this.neededShare - this.share);
        const surplusOf = (peer: LoanPeer) => {
            const needed = total > 0 ? this.demand.demandOf(peer.hostId) / total : 0;
            return Math.max(0, this.demand.shareOf(peer.hostId, this.assumedShare(peers)) - needed);
        };
        const surplus = peers.reduce((sum, peer) => sum + surplusOf(peer), 0);
        const fraction = surplus > 0 ? Math.min(1, missing / surplus) : 0;
        return new Map(peers.map(peer => [peer, fraction * surplusOf(peer)]));
    }

    /** Share assumed for an owner that has not reported its own. */
    private assumedShare(peers: readonly LoanPeer[]): number {
        return this.share > 0 ? this.share : 1 / (peers.length + 1);
    }

    /** Share of the limit that corresponds to this host's part of the demand, from 0 to 1. */
    private get neededShare(): number {
        const { own, total } = this.demand;
        return total > 0 ? own / total : 0;
    }

    /** Rate and capacity that this host owns, including what it has lent. */
    private get owned(): Quota {
        return { rate: this.limit.rate * this.share, capacity: this.limit.capacity * this.share };
    }

    /** Tokens that this host keeps for its waiting requests and its own demand. */
    private get reserve(): number {
        return this.waiting + this.demand.own * RESERVE_MS / MS_PER_SECOND;
    }

    /** Tokens below which this host requests more; 0 without demand. */
    private get lowWater(): number {
        const { own } = this.demand;
        return own > 0 ? this.waiting + 1 + own * LOW_WATER_MS / MS_PER_SECOND : 0;
    }

    private get missingTokens(): number {
        return Math.min(this.lowWater, this.limit.capacity) - this.bucket.level;
    }

    private differsSignificantly(held: number, wanted: number, limit: number): boolean {
        const difference = Math.abs(held - wanted);
        return difference > Math.max(held, wanted) * MIN_RELATIVE_ADJUSTMENT &&
            difference > limit * MIN_ADJUSTMENT_SHARE;
    }

    private sumBorrowed(): Quota {
        let rate = 0;
        let capacity = 0;
        for (const { held } of this.borrowed.values()) {
            rate += held.rate;
            capacity += held.capacity;
        }
        return { rate, capacity };
    }

    /** Brings the state up to date: a borrowed loan counts until its own end, a reclaimed one counts from now. */
    private advance(): void {
        const now = this.opts.now();
        const ended = [...this.borrowed.values()].filter(account =>
            account.held.capacity + account.held.rate > 0 && account.expiresAt <= now
        );
        for (const account of ended.sort((first, second) => first.expiresAt - second.expiresAt)) {
            this.bucket.advance(account.expiresAt);
            account.expire();
            this.resize();
        }
        this.bucket.advance(now);
        this.lent.reclaim(now);
        // After a pause longer than a loan, this host cannot know whether it owned its share throughout.
        if (now - this.advancedAt > loanTerms.ttlMs) {
            this.bucket.remove(Infinity);
        }
        this.advancedAt = now;
        this.resize();
    }

    private resize(): void {
        const borrowed = this.sumBorrowed();
        const ownCapacity = Math.max(0, this.owned.capacity - this.lent.total.capacity);
        this.bucket.resize(this.ownRate + borrowed.rate, ownCapacity + borrowed.capacity);
    }

    /** Rate that this host owns and has not lent. */
    private get ownRate(): number {
        return Math.max(0, this.owned.rate - this.lent.total.rate);
    }
}
