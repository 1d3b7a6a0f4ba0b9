import type { ListedHost } from "@pistachioreel/platform-store";

/** What a host of the platform's list answered, or that it did not answer. */
export interface HostReply<T> {
    readonly host: ListedHost;
    /** `undefined` if the host did not answer. */
    readonly body: T | undefined;
}
