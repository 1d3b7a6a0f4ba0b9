import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { setTimeout as sleep } from "node:timers/promises";
import type { SlotGrant } from "./slotGrant.js";
import type { SlotLedger } from "./slotLedger.js";
import type { SlotRequest } from "./slotRequest.js";
import type { TargetCandidate } from "./targetCandidate.js";
import type { TargetChooser } from "./targetChooser.js";
import type { TargetQueue } from "./targetQueue.js";

interface ServingTarget extends TargetCandidate {
    readonly state: "live" | "leaving";
}

interface PollingTargetQueueOptions<T> {
    readonly chooser: TargetChooser;
    readonly slots: SlotLedger;
    /** Targets of a service in the configuration in force. */
    readonly targetsOf: (service: string) => readonly T[];
    /** Monotonic time in ms. */
    readonly now: () => number;
}

const SLOT_POLL_MS = 5;

/** Lets each request look for a free slot at intervals. */
export class PollingTargetQueue<T extends ServingTarget> implements TargetQueue<T> {
    constructor(private readonly opts: PollingTargetQueueOptions<T>) {}

    async acquire(request: SlotRequest): Promise<Result<SlotGrant<T>, Failure>> {
        for (;;) {
            const candidates = this.opts.targetsOf(request.service)
                .filter(target => target.state === "live" && !request.excluded.has(target.id));
            if (candidates.length === 0) {
                return err(new Failure("noTarget"));
            }
            if (request.signal.aborted || this.opts.now() >= request.deadlineAt) {
                return err(new Failure("deadlineInQueue"));
            }
            const target = this.opts.chooser.choose(candidates);
            if (target !== undefined) {
                return ok({ target, release: this.opts.slots.take(target.id) });
            }
            await sleep(SLOT_POLL_MS);
        }
    }
}
