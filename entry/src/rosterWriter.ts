import { DocumentRepository } from "@pistachioreel/documents";
import type { Logger } from "@pistachioreel/logging";
import { type Membership, nextRoster, type RosterMember } from "@pistachioreel/membership";
import type { PeerMesh } from "@pistachioreel/peering";
import type { ObjectStore } from "@pistachioreel/platform-store";
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import type { FleetState } from "./fleetState.js";

interface RosterWriterOptions {
    readonly self: RosterMember;
    readonly store: ObjectStore;
    readonly state: FleetState;
    readonly membership: Membership;
    readonly mesh: PeerMesh;
    readonly logger: Logger;
    /** Monotonic time in ms. */
    readonly now: () => number;
    readonly signal: AbortSignal;
}

const CHECK_INTERVAL_MS = 250;
/** Older evidence may predate the newest roster. */
const MAX_EVIDENCE_AGE_MS = 3_000;
/** Extra delay of each host after the first in id order, so that it only writes if those before it have not. */
const TURN_DELAY_MS = 2_000;
const MAX_BACKOFF_MS = 10_000;

/** Writes the next roster when the set of hosts has to change. One host writes; the others take over if it fails to. */
export class RosterWriter {
    private readonly repository: DocumentRepository;
    private dueSince: number | undefined;
    private failures = 0;

    constructor(private readonly opts: RosterWriterOptions) {
        this.repository = new DocumentRepository(opts.store);
    }

    /** Runs until the signal aborts. */
    async run(): Promise<void> {
        const { signal } = this.opts;
        const startedAt = this.opts.now();
        while (!signal.aborted) {
            await sleep(CHECK_INTERVAL_MS, undefined, { signal }).catch(() => undefined);
            await this.writeIfDue(startedAt);
        }
    }

    private async writeIfDue(startedAt: number): Promise<void> {
        const { membership, mesh, self, state, now } = this.opts;
        const roster = membership.currentRoster;
        const next = membership.storeEvidenceAgeMs > MAX_EVIDENCE_AGE_MS || (roster && !membership.isRosterComplete)
            ? undefined
            : nextRoster({
                self,
                roster,
                reports: membership.reports,
                linked: new Set(mesh.peers().map(peer => peer.hostId)),
                listed: new Set(state.hosts.filter(host => host.state === "live").map(host => host.id)),
                upMs: now() - startedAt,
                now: now(),
            });
        if (next === undefined) {
            this.dueSince = undefined;
            return;
        }
        this.dueSince ??= now();
        if (now() - this.dueSince < this.turnIndex() * TURN_DELAY_MS) {
            return;
        }
        const basedOn = state.versionOf("roster");
        const committed = await this.repository.commit("roster", next.toContent(), { basedOn, changeId: randomUUID() });
        if (committed.isErr() && committed.error.code === "storeConflict") {
            await this.writeLostAgain();
        }
        this.failures = committed.isOk() ? 0 : this.failures + 1;
        if (committed.isErr()) {
            // After a conflict or an outage, the delays start over with the roster that the store then holds.
            this.dueSince = undefined;
            const waitMs = Math.random() * Math.min(MAX_BACKOFF_MS, CHECK_INTERVAL_MS * 2 ** this.failures);
            await sleep(waitMs, undefined, { signal: this.opts.signal }).catch(() => undefined);
        }
    }

    /** Writes the roster in force again if the store has only an older one, as it came back from a copy. */
    private async writeLostAgain(): Promise<void> {
        const document = this.opts.state.documentOf("roster");
        if (document === undefined) {
            return;
        }
        const written = await this.repository.writeAgain(document);
        const { logger } = this.opts;
        if (written.isErr()) {
            logger.warn({ event: "store-failed", fields: { code: written.error.number, failures: this.failures + 1 } });
        }
        else if (written.value) {
            logger.info({ event: "roster-written-again", fields: { version: document.version } });
        }
    }

    /** Number of hosts that could write and precede this one in id order; leaving hosts are not counted. */
    private turnIndex(): number {
        const { membership, mesh, self } = this.opts;
        const linked = new Set(mesh.peers().map(peer => peer.hostId));
        const eligible = membership.reports.filter(report =>
            linked.has(report.id) && report.state === "live" && report.evidenceAgeMs !== undefined
        );
        return eligible.filter(report => report.id < self.id).length;
    }
}
