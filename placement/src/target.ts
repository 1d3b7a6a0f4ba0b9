/** A server that answers requests of one service, as it has registered itself. */
export interface Target {
    readonly id: string;
    /** Wall-clock time in ms of the target's start; another start under the same id is another incarnation. */
    readonly incarnation: number;
    /** `address:port` */
    readonly address: string;
    readonly service: string;
    readonly availabilityZone: string;
    readonly region: string;
    readonly slots: number;
    readonly isDraining: boolean;
    /** How much longer the target stays cold, in ms, as it reported. */
    readonly coldMs: number;
}
