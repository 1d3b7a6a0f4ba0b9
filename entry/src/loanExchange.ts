import { type DistributedRateLimiter, type LoanPeer } from "@pistachioreel/limits";
import type { PeerMesh } from "@pistachioreel/peering";

interface LoanExchangeOptions {
    readonly mesh: PeerMesh;
    readonly ledger: DistributedRateLimiter;
    /** Called when tokens have arrived. */
    readonly onTokensReceived: () => void;
}

const INTERVAL_MS = 100;
const ANSWER_TIMEOUT_MS = 300;

/** Carries requests for loans and their answers over the links between hosts. */
export class LoanExchange {
    /** Loan messages sent since the start, answers included. */
    sentMessages = 0;

    constructor(private readonly opts: LoanExchangeOptions) {
        const { mesh, ledger } = opts;
        const answer = (from: LoanPeer, message: unknown) => {
            const loan = ledger.handleLoanRequest(from, message);
            this.sentMessages += loan === undefined ? 0 : 1;
            return loan;
        };
        mesh.registerHandler("loan-request", answer);
        mesh.registerHandler("loan-return", answer);
        mesh.addHeartbeatPart("limits", {
            payload: () => ledger.demandReport(),
            receive: (from, payload) => ledger.handleDemandReport(from.hostId, payload),
        });
    }

    /** Exchanges what is due for all workspaces at regular intervals until the signal aborts. */
    start(signal: AbortSignal): void {
        const timer = setInterval(() => this.sendDueMessages(), INTERVAL_MS);
        signal.addEventListener("abort", () => clearInterval(timer), { once: true });
    }

    /** Sends what is due now, for all workspaces or those named. */
    sendDueMessages(workspaces?: string[]): void {
        for (const { to, message } of this.opts.ledger.prepareRequests(this.opts.mesh.peers(), workspaces)) {
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
        const answer = await this.opts.mesh.request(to.hostId, { ...message }, ANSWER_TIMEOUT_MS);
        if (answer.isOk() && this.opts.ledger.handleLoan(to, answer.value)) {
            this.opts.onTokensReceived();
        }
    }
}
