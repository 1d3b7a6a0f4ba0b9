interface TrialServerEntryOptions {
    readonly address: string;
    readonly service: string;
    readonly zone: string;
    readonly slots: number;
}

/** Entry of a server in the store that is ready and not cold. */
export function trialServerEntry({ address, service, zone, slots }: TrialServerEntryOptions) {
    return {
        address,
        born: 1_700_000_000_000,
        info: { service, version: "v1", zone, slots },
        status: { state: "ready", seq: 1, cold_left: "0ms" },
    };
}
