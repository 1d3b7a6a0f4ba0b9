import type { ReadyHost } from "@pistachioreel/fleet";
import { shuffled } from "./shuffled.js";

interface HostDirectoryOptions {
    readonly availabilityZone: string;
    readonly region: string;
    readonly callers: string;
    readonly isReady: () => boolean;
    /** Other hosts that accept callers. */
    readonly otherHosts: () => readonly ReadyHost[];
}

/** A caller needs at least two hosts to fail over when one of them fails. */
const MIN_HOSTS = 2;
const MAX_HOSTS = 64;

/**
 * Finds the hosts that callers should use. Only ready hosts whose relays report them count; those in the caller's
 * availability zone are preferred, then those in its region.
 */
export class HostDirectory {
    constructor(private readonly opts: HostDirectoryOptions) {}

    /** `address:port` of up to 64 hosts for a caller, in random order; empty if no host is ready. */
    hostsFor(region: string | undefined, availabilityZone: string | undefined): string[] {
        const ready = this.readyHosts();
        const inZone = ready.filter(host => host.availabilityZone === availabilityZone);
        const inRegion = ready.filter(host => host.region === region);
        const chosen = [inZone, inRegion, ready].find(hosts => hosts.length >= MIN_HOSTS) ??
            (inRegion.length > 0 ? inRegion : ready);
        return shuffled(chosen).slice(0, MAX_HOSTS).map(({ callers }) => callers);
    }

    private readyHosts(): readonly ReadyHost[] {
        const { otherHosts, isReady, callers, availabilityZone, region } = this.opts;
        return isReady() ? [...otherHosts(), { callers, availabilityZone, region }] : otherHosts();
    }
}
