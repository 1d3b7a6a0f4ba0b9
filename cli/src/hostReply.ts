import type { ListedHost } from "@pistachioreel/platform-store";

/** Reply of a host on the platform's list to a request of an operator's command. */
export interface HostReply<T> {
    readonly host: ListedHost;
    /** Parsed body; `undefined` if the host did not reply in time or the body does not match the schema. */
    readonly body: T | undefined;
}
