import { EntryHostRanking, parseAddress } from "@pistachioreel/lookup";
import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import type { FleetState } from "./fleetState.js";

interface LookupResolverOptions {
    readonly availabilityZone: string;
    readonly region: string;
    readonly state: Pick<FleetState, "hosts" | "blockTable" | "configuration">;
    /** Ids of hosts that are overloaded, leaving or silent; must return a new object when the set changes. */
    readonly unfitHosts?: () => ReadonlySet<string>;
    readonly random?: () => number;
}

interface LookupResult {
    /** `address:port` of the entry hosts to use, best first. */
    readonly hosts: readonly string[];
    /** Time for which callers may cache the result, in s. */
    readonly lifetimeSeconds: number;
    /** Site of the client's block, if the map has one. */
    readonly site: string | undefined;
}

/** Limits how long callers with a cached result still use a host that is leaving or dead. */
const RESULT_LIFETIME_SECONDS = 10;
const NO_HOSTS: ReadonlySet<string> = new Set();

/** Resolves the address of a client to the entry hosts that suit its site best. */
export class LookupResolver {
    private readonly ownLocation: {
        readonly availabilityZones: readonly string[];
        readonly regions: readonly string[];
    };
    private ranking = new EntryHostRanking([]);
    private rankedHosts: unknown;
    private rankedUnfit: unknown;

    constructor(private readonly opts: LookupResolverOptions) {
        this.ownLocation = { availabilityZones: [opts.availabilityZone], regions: [opts.region] };
    }

    /**
     * @param client Address given by the caller.
     * @param peerAddress Remote address of the caller's connection, used if `client` is absent.
     * @returns The ranked hosts. Without a block map, or if no block contains the address, they are ranked for this
     *     host's own zone and region. Failure: `clientAddressInvalid`.
     */
    resolve(client: string | undefined, peerAddress: string | undefined): Result<LookupResult, Failure> {
        const address = parseAddress(client ?? peerAddress ?? "");
        if (address === undefined && client !== undefined) {
            return err(new Failure("clientAddressInvalid", `${JSON.stringify(client.slice(0, 60))} is not an address`));
        }
        const { state } = this.opts;
        const site = address && state.blockTable?.siteOfWords(address);
        const location = site === undefined ? undefined : state.configuration?.rules.sites[site];
        const hosts = this.currentRanking().rank(location ?? this.ownLocation);
        return ok({ hosts, lifetimeSeconds: RESULT_LIFETIME_SECONDS, site });
    }

    /** Rebuilds the ranking only if the host list or the set of unfit hosts is a new object. */
    private currentRanking(): EntryHostRanking {
        const { hosts } = this.opts.state;
        const unfit = this.opts.unfitHosts?.() ?? NO_HOSTS;
        if (hosts !== this.rankedHosts || unfit !== this.rankedUnfit) {
            this.ranking = new EntryHostRanking(hosts, { unfit, random: this.opts.random });
            this.rankedHosts = hosts;
            this.rankedUnfit = unfit;
        }
        return this.ranking;
    }
}
