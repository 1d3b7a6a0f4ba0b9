import { CrashSuspects } from "@pistachioreel/delivery";
import { FleetBroadcast } from "@pistachioreel/fleet";
import type { Logger } from "@pistachioreel/logging";
import type { PeerIdentity, PeerMesh } from "@pistachioreel/peering";
import type { FleetLinks } from "./fleetLinks.js";

interface CrashSuspectsOptions {
    readonly identity: PeerIdentity;
    readonly mesh: PeerMesh;
    readonly links: Pick<FleetLinks, "isRelay" | "ownRelays">;
    readonly logger: Logger;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Creates the crash suspects of a host, which all hosts share through the relays. */
export function createCrashSuspects({ identity, mesh, links, logger, now }: CrashSuspectsOptions): CrashSuspects {
    const broadcast = new FleetBroadcast({ ...identity, mesh, isRelay: () => links.isRelay });
    return new CrashSuspects({
        hostId: identity.hostId,
        mesh,
        broadcast: {
            registerHandler: broadcast.registerHandler.bind(broadcast),
            send: broadcast.send.bind(broadcast),
            coordinators: () => links.ownRelays,
        },
        observe: (event, { fields } = {}) => logger.info({ event, fields }),
        now,
    });
}
