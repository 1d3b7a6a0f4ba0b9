import type { DesiredState } from "@pistachioreel/desired-state";
import type { Target } from "@pistachioreel/placement";
import type { ObjectFeed, StorePosition } from "@pistachioreel/platform-store";
import type { Failure } from "@pistachioreel/result-code";
import type { Result } from "neverthrow";
import type { AnnouncedHost } from "./announcedHost.js";
import type { Dialect } from "./dialect.js";

/** Interface to the platform on which a gateway host runs: its HTTP dialect and the feeds of its store. */
export interface PlatformAccess {
    readonly dialect: Dialect;
    /** Feed with one entry, the newest desired state. */
    readonly desiredStates: ObjectFeed<DesiredState>;
    readonly targets: ObjectFeed<Target>;
    /** Feed with one entry for each availability zone that is evacuated, by its name. */
    readonly evacuations: ObjectFeed<true>;
    readonly hosts: ObjectFeed<AnnouncedHost>;
    /** Registers this host in the store for others to discover. Fails if the store is unreachable or rejects it. */
    announce(host: AnnouncedHost): Promise<Result<void, Failure>>;
    /** Reads the position of the store's last change, on a new connection. Fails if the store is unreachable. */
    readPosition(): Promise<Result<StorePosition, Failure>>;
    /** Calls to the store since the start. */
    readonly storeCalls: number;
    /** Objects read from the store since the start that were not valid. */
    readonly rejectedObjects: number;
    /** Closes the connections to the store. */
    close(): Promise<void>;
}
