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
/** An owner keeps the tokens for this long of its own demand. */
const RESERVE_MS = 100;
/** A host asks for tokens when it has fewer than for this long of its demand, and one. */
const LOW_WATER_MS = 200;
/** Loans are adjusted when they differ from what the demand needs by more than this share. */
const ADJUST_SHARE = 0.2;
/** Differences below this share of the limit are left alone. */
const IGNORED_SHARE = 0.005;
const ADJUST_INTERVAL_MS = 200;
const UNSATISFIED_INTERVAL_MS = 1_000;
const NONE: Quota = { rate: 0, capacity: 0 };

/** One workspace's limit at one host: the owned share, what is lent of it, what is borrowed, and the tokens. */
export class WorkspaceLimit {
    readonly demand: WorkspaceDemand;
    /** Requests that wait for a token. */
    waiting = 0;
    private readonly bucket: TokenBucket;
    private readonly lent = new LentAccounts();
    private readonly borrowed = new Map<string, BorrowedAccount>();
    private readonly round: LoanRequestPacer;
    private limit: Quota = NONE;
    private share = 0;
    private settledAt: number;

    constructor(private readonly opts: WorkspaceLimitOptions) {
        this.demand = new WorkspaceDemand(opts.now);
        this.round = new LoanRequestPacer(opts);
        this.bucket = new TokenBucket({ ...NONE, tokens: 0, now: opts.now });
        this.settledAt = opts.now();
    }

    /** Sets the workspace's limit over all hosts and the share of it that this host owns, 0 to 1. */
    assign(limit: Quota, share: number): void {
        this.settle();
        this.limit = limit;
        this.share = share;
        this.resize();
    }

    tryTake(): boolean {
        this.settle();
        return this.bucket.tryTake();
    }

    /** Time until this host has a token without asking others, in ms. */
    get waitMs(): number {
        this.settle();
        return this.bucket.waitMs;
    }

    /** Unspent tokens. */
    get tokens(): number {
        this.settle();
        return this.bucket.level;
    }

    /** Whether the demand of all hosts is within the rate, as far as this host knows. */
    get isWithinRate(): boolean {
        return this.demand.total <= this.limit.rate;
    }

    /** Whether tokens can be expected from other hosts. */
    get canExpectTokens(): boolean {
        return this.isWithinRate || !this.round.isExhausted;
    }

    /** Rate and capacity that this host has in use now. */
    get effectiveLimit(): Quota {
        this.settle();
        return { rate: this.ownRate + this.sumBorrowed().rate, capacity: this.bucket.capacity };
    }

    get lentTotal(): Quota {
        this.settle();
        return this.lent.total;
    }

    get borrowedTotal(): Quota {
        this.settle();
        return this.sumBorrowed();
    }

    /** What to tell and ask the owners now. Entries that ask for nothing belong into a `loan-return`. */
    prepareRequests(partners: readonly LoanPeer[]): Map<LoanPeer, RequestEntry> {
        this.settle();
        const wanted = this.wantedShares(partners);
        const missing = this.missingTokens;
        const tokensOfEach = this.round.start(missing);
        const entries = new Map<LoanPeer, RequestEntry>();
        for (const partner of partners) {
            const share = wanted.get(partner) ?? 0;
            const entry = this.requestTo(partner, share, tokensOfEach);
            if (entry !== undefined) {
                entries.set(partner, entry);
            }
        }
        return entries;
    }

    /** Takes a request or return of a borrower; only a request that is its newest gets an answer. */
    handleRequest(from: LoanPeer, entry: RequestEntry): LoanEntry | undefined {
        this.settle();
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

    /** Takes an owner's answer; returns the tokens that came with it. */
    handleLoan(from: LoanPeer, entry: LoanEntry): number {
        this.settle();
        const account = this.borrowed.get(from.hostId);
        const before = account?.held ?? NONE;
        this.demand.recordReport(from.hostId, entry.demand, entry.share);
        if (
            account?.ownerIncarnation !== from.incarnation ||
            !account.handleLoan(entry.sequence, entry, this.opts.now())
        ) {
            return 0;
        }
        if (entry.rate <= before.rate && entry.capacity <= before.capacity) {
            account.adjustAfter = this.opts.now() + UNSATISFIED_INTERVAL_MS;
        }
        this.resize();
        this.bucket.add(entry.tokens);
        this.round.recordReply(entry.tokens);
        return entry.tokens;
    }

    private lend(borrower: string, entry: RequestEntry): LoanEntry {
        const { rate, capacity } = this.lent.total;
        const held = this.lent.lentTo(borrower);
        const keep = this.neededShare;
        const lendable = (share: number, others: number) => Math.max(0, share - others);
        const owned = this.owned;
        const rateLeft = lendable(owned.rate, rate - held.rate);
        const capacityLeft = lendable(owned.capacity, capacity - held.capacity);
        const grantedRate = Math.min(entry.wantedRate, lendable(rateLeft, keep * this.limit.rate));
        const grantedCapacity = Math.min(entry.wantedCapacity, lendable(capacityLeft, keep * this.limit.capacity));
        const asked = Math.min(entry.wantedTokens, Math.max(0, this.bucket.level - this.reserve));
        // Tokens travel with at least as much capacity, or the owner could refill while they are under way.
        const grown = Math.min(capacityLeft, Math.max(grantedCapacity, asked > 0 ? held.capacity + asked : 0));
        const room = Math.max(0, grown - held.capacity);
        const granted = { rate: grantedRate, capacity: grown };
        const given = this.bucket.remove(Math.min(asked, room));
        const overflow = this.bucket.level - this.ownCapacityAfter(held, granted);
        const tokens = given + this.bucket.remove(Math.min(overflow, room - given));
        this.lent.lend(borrower, granted, this.opts.now());
        this.resize();
        const { workspace, sequence } = entry;
        return { workspace, sequence, ...granted, tokens, share: this.share, demand: this.demand.own };
    }

    private ownCapacityAfter(held: Quota, granted: Quota): number {
        return this.bucket.capacity - Math.max(0, granted.capacity - held.capacity);
    }

    private requestTo(partner: LoanPeer, share: number, tokens: number): RequestEntry | undefined {
        const now = this.opts.now();
        const account = this.accountWith(partner);
        const wanted = { rate: share * this.limit.rate, capacity: share * this.limit.capacity };
        const isRenewal = account.held.capacity > 0 && now >= account.expiresAt - loanTerms.ttlMs / 2;
        const isAdjustment = now >= account.adjustAfter && this.needsAdjustment(account.held, wanted);
        if (!(tokens > 0 || isRenewal || isAdjustment) || account.isWaiting(now)) {
            return undefined;
        }
        const returnedTokens = this.giveBack(account, wanted);
        const { rate, capacity } = account.held;
        const wantedCapacity = Math.max(capacity, wanted.capacity);
        const expectsAnswer = wantedCapacity + tokens > 0;
        account.adjustAfter = now + ADJUST_INTERVAL_MS;
        if (tokens > 0) {
            this.round.recordRequest();
        }
        return {
            workspace: this.opts.workspace,
            sequence: account.startRequest(now, expectsAnswer),
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
        return this.differs(held.rate, wanted.rate, this.limit.rate)
            || this.differs(Math.min(held.capacity, wanted.capacity), wanted.capacity, this.limit.capacity)
            || this.differs(held.capacity, held.capacity - empty - tokens, this.limit.capacity);
    }

    /** Capacity held beyond what is wanted that is empty, and that which holds tokens that are not needed. */
    private returnable(held: Quota, wanted: Quota): { empty: number; tokens: number; } {
        const excess = Math.max(0, held.capacity - wanted.capacity);
        const { level, capacity } = this.bucket;
        const empty = Math.min(excess, capacity - level);
        return { empty, tokens: Math.min(excess - empty, Math.max(0, level - this.lowWater)) };
    }

    /** Gives up what is held beyond what is wanted; returns the tokens that go with it. */
    private giveBack(account: BorrowedAccount, wanted: Quota): number {
        const { empty, tokens } = this.returnable(account.held, wanted);
        const returned = this.bucket.remove(tokens);
        account.held = {
            rate: Math.min(account.held.rate, wanted.rate),
            capacity: Math.max(0, account.held.capacity - empty - returned),
        };
        this.resize();
        return returned;
    }

    private accountWith(partner: LoanPeer): BorrowedAccount {
        const known = this.borrowed.get(partner.hostId);
        if (known?.ownerIncarnation === partner.incarnation) {
            return known;
        }
        const account = new BorrowedAccount(partner.incarnation);
        this.borrowed.set(partner.hostId, account);
        this.resize();
        return account;
    }

    /** Shares of the limit to hold of each owner so that all hosts together hold in proportion to their demand. */
    private wantedShares(partners: readonly LoanPeer[]): Map<LoanPeer, number> {
        const { total } = this.demand;
        const missing = Math.max(0, this.neededShare - this.share);
        const surplusOf = (partner: LoanPeer) => {
            const needed = total > 0 ? this.demand.demandOf(partner.hostId) / total : 0;
            return Math.max(0, this.demand.shareOf(partner.hostId, this.assumedShare(partners)) - needed);
        };
        const surplus = partners.reduce((sum, partner) => sum + surplusOf(partner), 0);
        const part = surplus > 0 ? Math.min(1, missing / surplus) : 0;
        return new Map(partners.map(partner => [partner, part * surplusOf(partner)]));
    }

    private assumedShare(partners: readonly LoanPeer[]): number {
        return this.share > 0 ? this.share : 1 / (partners.length + 1);
    }

    /** Share of the limit that this host's part of all demand is worth. */
    private get neededShare(): number {
        const { own, total } = this.demand;
        return total > 0 ? own / total : 0;
    }

    private get owned(): Quota {
        return { rate: this.limit.rate * this.share, capacity: this.limit.capacity * this.share };
    }

    private get reserve(): number {
        return this.waiting + this.demand.own * RESERVE_MS / MS_PER_SECOND;
    }

    private get lowWater(): number {
        const { own } = this.demand;
        return own > 0 ? this.waiting + 1 + own * LOW_WATER_MS / MS_PER_SECOND : 0;
    }

    private get missingTokens(): number {
        return Math.min(this.lowWater, this.limit.capacity) - this.bucket.level;
    }

    private differs(held: number, wanted: number, limit: number): boolean {
        const difference = Math.abs(held - wanted);
        return difference > Math.max(held, wanted) * ADJUST_SHARE && difference > limit * IGNORED_SHARE;
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

    /** Brings the state up to now: each loan counts until its own end, and what comes back counts from now. */
    private settle(): void {
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
        // A process that was paused cannot know whether its share was its own all the time.
        if (now - this.settledAt > loanTerms.ttlMs) {
            this.bucket.remove(Infinity);
        }
        this.settledAt = now;
        this.resize();
    }

    private resize(): void {
        const borrowed = this.sumBorrowed();
        const ownCapacity = Math.max(0, this.owned.capacity - this.lent.total.capacity);
        this.bucket.resize(this.ownRate + borrowed.rate, ownCapacity + borrowed.capacity);
    }

    private get ownRate(): number {
        return Math.max(0, this.owned.rate - this.lent.total.rate);
    }
}
