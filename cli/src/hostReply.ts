import type { ListedHost } from "@pistachioreel/platform-store";

/** What a host of the platform's list replied to a request. */
export interface HostReply<T> {
    readonly host: ListedHost;
    /** Parsed body; `undefined` if there was no valid reply in time. */
    readonly body: T | undefined;
}
