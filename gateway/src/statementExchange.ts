import type { PeerIdentity, PeerMesh } from "@pistachioreel/peering";
import type { SharedStatement, TargetStatements } from "@pistachioreel/placement";
import { PeerOutbox } from "./peerOutbox.js";

interface StatementExchangeOptions {
    readonly mesh: PeerMesh;
    readonly statements: TargetStatements;
    readonly availabilityZone: string;
    readonly isRelay: () => boolean;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** A statement and the monotonic time in ms at which it was queued, by which its age grows until it is sent. */
interface QueuedStatement {
    readonly statement: SharedStatement;
    readonly queuedAt: number;
}

const MAX_STATEMENTS_PER_REPORT = 500;

/** Tells the other hosts which targets have said that they are leaving or have stated a limit. */
export class StatementExchange {
    private readonly outbox: PeerOutbox<QueuedStatement>;

    constructor(private readonly opts: StatementExchangeOptions) {
        this.outbox = new PeerOutbox({ ...opts, maxItems: MAX_STATEMENTS_PER_REPORT });
    }

    /** Adds what this host has learned since the last call to what is to be sent. */
    collect(): void {
        this.outbox.add(this.queued(this.opts.statements.takeNews()));
    }

    /** Returns the statements to send to the peer now. */
    takeStatementsFor(peer: PeerIdentity): SharedStatement[] {
        const now = this.opts.now();
        return this.outbox.takeFor(peer).map(({ statement, queuedAt }) => ({
            ...statement,
            ageMs: statement.ageMs + now - queuedAt,
        }));
    }

    /** Records the statements of a peer's report and passes new ones on. */
    receive(from: PeerIdentity, statements: readonly SharedStatement[]): void {
        const added = statements.filter(statement => this.opts.statements.recordShared(statement));
        this.outbox.passOn(from, this.queued(added));
    }

    /** Sends all that this host knows to a host that has just been linked. */
    handleLinked(hostId: string): void {
        this.outbox.addFor(hostId, this.queued(this.opts.statements.allShared()));
    }

    /** Drops the statements for a host without a link. */
    forget(hostId: string): void {
        this.outbox.forget(hostId);
    }

    private queued(statements: readonly SharedStatement[]): QueuedStatement[] {
        const queuedAt = this.opts.now();
        return statements.map(statement => ({ statement, queuedAt }));
    }
}
