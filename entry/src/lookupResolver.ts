import { EntryHostRanking, parseAddress } from "@pistachioreel/lookup";
import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import type { FleetState } from "./fleetState.js";

interface LookupResolverOptions {
    readonly availabilityZone: string;
    readonly region: string;
    readonly state: Pick<FleetState, "hosts" | "blockTable" | "configuration">;
    /** Ids of hosts that are overloaded, leaving or silent; a changed set is a new object. */
    readonly unfitHosts?: () => ReadonlySet<string>;
    readonly random?: () => number;
}

interface LookupResult {
    /** `address:port` of the entry hosts to use, best first. */
    readonly hosts: readonly string[];
    /** Time that callers may use the answer, in s. */
    readonly lifetimeSeconds: number;
    /** Site of the client's block, if the map has one. */
    readonly site: string | undefined;
}

/** Bounds how long a host that is leaving or dead is still used by callers that cache. */
const LIFETIME_SECONDS = 10;
const NONE: ReadonlySet<string> = new Set();

/** Answers lookups: the entry hosts for the site of a client. */
export class LookupResolver {
    private readonly ownPlace: { readonly availabilityZones: readonly string[]; readonly regions: readonly string[]; };
    private ranking = new EntryHostRanking([]);
    private rankedHosts: unknown;
    private rankedUnfit: unknown;

    constructor(private readonly opts: LookupResolverOptions) {
        this.ownPlace = { availabilityZones: [opts.availabilityZone], regions: [opts.region] };
    }

    /**
     * @param client Address that the caller asks for.
     * @param peerAddress Address of the caller's connection, used if `client` is absent.
     * @returns The answer; without a map or a block for the address, that for this host's own zone. Failure:
     *     `clientAddressInvalid`.
     */
    resolve(client: string | undefined, peerAddress: string | undefined): Result<LookupResult, Failure> {
        const address = parseAddress(client ?? peerAddress ?? "");
        if (address === undefined && client !== undefined) {
            return err(new Failure("clientAddressInvalid", `${JSON.stringify(client.slice(0, 60))} is not an address`));
        }
        const { state } = this.opts;
        const site = address && state.blockTable?.findWords(address);
        const place = site === undefined ? undefined : state.configuration?.rules.sites[site];
        const hosts = this.currentRanking().rank(place ?? this.ownPlace);
        return ok({ hosts, lifetimeSeconds: LIFETIME_SECONDS, site });
    }

    private currentRanking(): EntryHostRanking {
        const { hosts } = this.opts.state;
        const unfit = this.opts.unfitHosts?.() ?? NONE;
        if (hosts !== this.rankedHosts || unfit !== this.rankedUnfit) {
            this.ranking = new EntryHostRanking(hosts, { unfit, random: this.opts.random });
            this.rankedHosts = hosts;
            this.rankedUnfit = unfit;
        }
        return this.ranking;
    }
}
