const FIRST_OCTET = 127;
/** First value of the second octet; leaves 127.0.0.0/10 to other programs. */
const FIRST_SUBNET = 64;
const SUBNET_COUNT = 190;

let networkCount = 0;

/**
 * Allocates loopback addresses for one fleet. Each process of a fleet has its own address, so that ports can be fixed
 * and a proxy can identify the client by its source address. The network is derived from the process id, so that test
 * files that run concurrently do not collide.
 */
export class LoopbackNetwork {
    private readonly prefix: string;

    constructor() {
        const subnet = FIRST_SUBNET + (process.pid + SUBNET_COUNT / 2 * networkCount++) % SUBNET_COUNT;
        this.prefix = `${FIRST_OCTET}.${subnet}.${Math.floor(process.pid / SUBNET_COUNT) % 64}`;
    }

    /** Address of a process; `group` is 0 to 3, `index` is 0 to 199. */
    address(group: number, index: number): string {
        const [first, second, third] = this.prefix.split(".").map(Number) as [number, number, number];
        return `${first}.${second}.${third * 4 + group}.${index + 1}`;
    }
}
