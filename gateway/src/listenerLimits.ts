import type { Logger } from "@pistachioreel/logging";
import { SharedMemory } from "@pistachioreel/runtime";
import { PassQueue } from "./passQueue.js";
import type { GatewaySettings } from "./settings.js";
import { UnsentResponses } from "./unsentResponses.js";

interface ListenerLimitsOptions {
    /** Memory limit of the process, in bytes. */
    readonly memoryBytes: number;
    /** Has the share of the process's descriptors that connections of callers may use, over all listeners. */
    readonly settings: Pick<GatewaySettings, "callerDescriptorShare">;
    /** Gets an entry when a holder is refused memory for the first time since it last used none. */
    readonly logger?: Pick<Logger, "warn">;
}

/** Share of the process memory that heads of requests may use beyond what each connection has for itself. */
const HEAD_MEMORY_SHARE = 0.1;
/** Share of the process memory for responses that wait for their callers. */
const UNSENT_MEMORY_SHARE = 0.1;
/** Share of the process memory for connections, and the memory that one of them has at least. */
const CONNECTION_MEMORY_SHARE = 0.15;
const CONNECTION_BYTES = 16 * 1024;
/** Parts of the listeners in the connections. */
const CALLER_PART = 0.75;
const LOOKUP_PART = 0.15;
const OTHER_PART = 0.05;
/** The platform and the scraper of the metrics need few connections. */
const MAX_OTHER_CONNECTIONS = 64;
/** Used where the runtime does not tell the limit. */
const USUAL_DESCRIPTORS = 1_024;

/** Bounds on what callers can make a host hold, over its listeners. */
export class ListenerLimits {
    readonly headMemory: SharedMemory;
    readonly unsentResponses: UnsentResponses;
    /** Requests that were sent ahead, over all listeners. */
    readonly passQueue = new PassQueue();
    /** Most connections of each listener. */
    readonly connections: { readonly callers: number; readonly directory: number; readonly others: number; };

    constructor({ memoryBytes, settings, logger }: ListenerLimitsOptions) {
        this.headMemory = new SharedMemory({
            maxBytes: HEAD_MEMORY_SHARE * memoryBytes,
            onRefused: holder => logger?.warn({ event: "memory-share-exceeded", fields: { kind: "heads", holder } }),
        });
        this.unsentResponses = new UnsentResponses(UNSENT_MEMORY_SHARE * memoryBytes);
        const byMemory = CONNECTION_MEMORY_SHARE * memoryBytes / CONNECTION_BYTES;
        const total = Math.min(byMemory, settings.callerDescriptorShare * descriptorLimit());
        const part = (share: number) => Math.max(1, Math.floor(share * total));
        this.connections = {
            callers: part(CALLER_PART),
            directory: part(LOOKUP_PART),
            others: Math.min(MAX_OTHER_CONNECTIONS, part(OTHER_PART)),
        };
    }
}

/** Most descriptors that the process can have open. */
function descriptorLimit(): number {
    const report = process.report?.getReport() as
        | { userLimits?: { open_files?: { soft: number | string; }; }; }
        | undefined;
    const limit = Number(report?.userLimits?.open_files?.soft);
    return limit > 0 ? limit : USUAL_DESCRIPTORS;
}
