import type { DesiredState } from "@pistachioreel/desired-state";
import type { Target } from "@pistachioreel/placement";
import type { ObjectFeed } from "@pistachioreel/platform-store";
import type { Failure } from "@pistachioreel/result-code";
import type { Result } from "neverthrow";
import type { AnnouncedHost } from "./announcedHost.js";
import type { Dialect } from "./dialect.js";

/** What a gateway host needs of the platform. */
export interface PlatformAccess {
    readonly dialect: Dialect;
    /** Has one entry, the newest desired state. */
    readonly desiredStates: ObjectFeed<DesiredState>;
    readonly targets: ObjectFeed<Target>;
    /** Names of the availability zones that are evacuated. */
    readonly evacuations: ObjectFeed<true>;
    readonly hosts: ObjectFeed<AnnouncedHost>;
    /** Makes this host known to the others. */
    announce(host: AnnouncedHost): Promise<Result<void, Failure>>;
    /** Calls to the store since the start. */
    readonly storeCalls: number;
    /** Objects of the store since the start that could not be used. */
    readonly rejectedObjects: number;
    close(): Promise<void>;
}
