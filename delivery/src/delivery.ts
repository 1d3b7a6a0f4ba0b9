import type { PeerMesh } from "@pistachioreel/peering";
import type { ObjectStore } from "@pistachioreel/platform-store";
import type { Failure } from "@pistachioreel/result-code";
import type { TargetQueue } from "@pistachioreel/steering";
import { err, type Result } from "neverthrow";
import { AtMostOnceDelivery } from "./atMostOnceDelivery.js";
import { AttemptSequence } from "./attemptSequence.js";
import { CrashSuspects } from "./crashSuspects.js";
import type { DeliveryObserver } from "./deliveryObserver.js";
import type { DeliveryReport } from "./deliveryReport.js";
import type { DeliveryRequest } from "./deliveryRequest.js";
import { readRequestBody } from "./readRequestBody.js";
import type { RequestBody } from "./requestBody.js";
import { RetryBudget } from "./retryBudget.js";
import type { TargetPools } from "./targetPools.js";

interface DeliveryTarget {
    readonly id: string;
    readonly connections: number;
    readonly availabilityZone: string;
}

interface DeliveryOptions {
    readonly pools: TargetPools;
    readonly queue: TargetQueue<DeliveryTarget>;
    /** Targets of a service in the configuration in force. */
    readonly targetsOf: (service: string) => readonly DeliveryTarget[];
    readonly store: ObjectStore;
    readonly hostId: string;
    /** Number of hosts that share the store's write budget. */
    readonly hostCount: () => number;
    /** Connections to the other hosts, which share their crash suspects. */
    readonly mesh?: PeerMesh;
    readonly observe?: DeliveryObserver;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Time within which the first 64 KiB of a body must arrive. */
const BODY_HEAD_TIMEOUT_MS = 5_000;

/** Delivers callers' requests to targets and relays the responses; non-idempotent requests run at most once. */
export class Delivery {
    private readonly attempts: AttemptSequence;
    private readonly atMostOnce: AtMostOnceDelivery;
    private readonly running = new Set<Promise<unknown>>();

    constructor(private readonly opts: DeliveryOptions) {
        const { pools, queue, targetsOf, now, observe = () => undefined } = opts;
        const suspects = new CrashSuspects({ ...opts, observe });
        const retries = new RetryBudget({ now });
        this.attempts = new AttemptSequence({ pools, queue, targetsOf, now, observe, retries, suspects });
        this.atMostOnce = new AtMostOnceDelivery({ ...opts, observe, attempts: this.attempts });
    }

    /**
     * Delivers the request. On success, the complete response has been sent unless the caller has disconnected. The
     * caller of this method sends a failure to the client unless the response has begun (`response.headersSent`).
     */
    async deliver(request: DeliveryRequest): Promise<Result<DeliveryReport, Failure>> {
        const { maxBodyBytes, deadlineAt } = request;
        const timeoutMs = Math.min(BODY_HEAD_TIMEOUT_MS, Math.max(0, deadlineAt - this.opts.now()));
        const body = await readRequestBody(request.request, { maxBodyBytes, timeoutMs });
        if (body.isErr()) {
            return err(body.error);
        }
        return request.isIdempotent
            ? this.attempts.run(request, body.value)
            : this.deliverAtMostOnce(request, body.value);
    }

    /** Resolves when requests that continue without their caller have ended and their outcomes are in the store. */
    async idle(): Promise<void> {
        await Promise.all(this.running);
        await this.atMostOnce.idle();
    }

    private async deliverAtMostOnce(
        request: DeliveryRequest,
        body: RequestBody | undefined,
    ): Promise<Result<DeliveryReport, Failure>> {
        const work = this.atMostOnce.deliver(request, body);
        this.running.add(work);
        try {
            return await work;
        }
        finally {
            this.running.delete(work);
        }
    }
}
