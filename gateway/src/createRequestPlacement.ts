import type { DesiredState } from "@pistachioreel/desired-state";
import type { Logger } from "@pistachioreel/logging";
import { ColdTargetLimiter, Placement } from "@pistachioreel/placement";
import { RequestScheduler, SlotReservation } from "@pistachioreel/scheduling";
import type { Dialect } from "./dialect.js";
import { RequestPlacement } from "./requestPlacement.js";
import type { GatewaySettings } from "./settings.js";
import type { TargetConnectionPools } from "./targetConnectionPools.js";
import type { TargetReach } from "./targetReach.js";
import type { TargetState } from "./targetState.js";

interface RequestPlacementParts {
    readonly settings: Pick<GatewaySettings, "hostId" | "availabilityZone" | "region" | "coldFactor" | "coldSlack">;
    readonly targets: TargetState;
    readonly dialect: Dialect;
    readonly connectionPools: TargetConnectionPools;
    readonly reach: TargetReach;
    /** Ids of all hosts that send requests. */
    readonly hostIds: () => readonly string[];
    /** The desired state in force, if there is one. */
    readonly desiredState: () => DesiredState | undefined;
    readonly logger: Logger;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Creates the components that decide when and to which target a request is sent. */
export function createRequestPlacement(parts: RequestPlacementParts): RequestPlacement {
    const { settings, targets, dialect, connectionPools, reach, hostIds, desiredState, logger, now } = parts;
    const { hostId, availabilityZone, region, coldFactor, coldSlack } = settings;
    /** Requests per second that all hosts together may send to one cold target of the service. */
    const limitOf = (service: string) =>
        (desiredState()?.findService(service)?.coldPerSecond ?? 0) * coldFactor + coldSlack;
    const cold = new ColdTargetLimiter({ hostId, hostIds, limitOf, now });
    const state = { ...targets, cold, now };
    return new RequestPlacement({
        ...state,
        dialect,
        connectionPools,
        reach,
        logger,
        placement: new Placement({ ...state, availabilityZone, region }),
        scheduler: new RequestScheduler({ now }),
        reservation: new SlotReservation({ now }),
    });
}
