import { type DistributedRateLimiter, type LoanPeer } from "@pistachioreel/limits";
import type { PeerMesh } from "@pistachioreel/peering";

interface LoanExchangeOptions {
    readonly mesh: PeerMesh;
    readonly limiter: DistributedRateLimiter;
    /** Called when borrowed tokens have arrived. */
    readonly onTokensReceived: () => void;
}

const EXCHANGE_INTERVAL_MS = 100;
const REPLY_TIMEOUT_MS = 300;

/** Exchanges loan requests, replies and returns with peers, and demand reports in heartbeats. */
export class LoanExchange {
    /** Loan messages sent since the process started, including replies. */
    sentMessages = 0;

    constructor(private readonly opts: LoanExchangeOptions) {
        const { mesh, limiter } = opts;
        const handleMessage = (from: LoanPeer, message: unknown) => {
            const loan = limiter.handleLoanRequest(from, message);
            this.sentMessages += loan === undefined ? 0 : 1;
            return loan;
        };
        mesh.registerHandler("loan-request", handleMessage);
        mesh.registerHandler("loan-return", handleMessage);
        mesh.addHeartbeatPart("limits", {
            payload: () => limiter.demandReport(),
            receive: (from, payload) => limiter.handleDemandReport(from.hostId, payload),
        });
    }

    /** Sends the due messages of all workspaces at regular intervals until the signal aborts. */
    start(signal: AbortSignal): void {
        const timer = setInterval(() => this.sendDueMessages(), EXCHANGE_INTERVAL_MS);
        signal.addEventListener("abort", () => clearInterval(timer), { once: true });
    }

    /** Sends the loan messages that are due now, for the given workspaces or for all. */
    sendDueMessages(workspaces?: string[]): void {
        for (const { to, message } of this.opts.limiter.prepareRequests(this.opts.mesh.peers(), workspaces)) {
            this.sentMessages++;
            if (message.type === "loan-return") {
                this.opts.mesh.send(to.hostId, message);
            }
            else {
                void this.request(to, message);
            }
        }
    }

    private async request(to: LoanPeer, message: { readonly type: string; }): Promise<void> {
        const reply = await this.opts.mesh.request(to.hostId, { ...message }, REPLY_TIMEOUT_MS);
        if (reply.isOk() && this.opts.limiter.handleLoan(to, reply.value)) {
            this.opts.onTokensReceived();
        }
    }
}
