import { BlockList } from "@pistachioreel/lookup";

interface RandomBlocksOptions {
    readonly sites: number;
    /** Share of IPv6 blocks, from 0 to 1. */
    readonly ipv6Share: number;
    readonly seed: number;
}

const WORD_RANGE = 2 ** 32;
const BITS_PER_WORD = 32;
/** Global unicast addresses, 2000::/3. */
const IPV6_FIRST_WORD = 0x20000000;

/** Pseudo-random numbers from 0 to 1 (linear congruential, modulus 2^32). */
function randomSource(seed: number): () => number {
    let state = seed >>> 0;
    return () => {
        state = Math.imul(state, 1_664_525) + 1_013_904_223 >>> 0;
        return state / WORD_RANGE;
    };
}

/** Sorted random blocks of both families with prefix lengths as in routing tables; the same for the same seed. */
export function randomBlocks(count: number, opts: RandomBlocksOptions): BlockList[] {
    const random = randomSource(opts.seed);
    const lists = [new BlockList(1), new BlockList(4)] as const;
    const seen = new Set<string>();
    while (seen.size < count) {
        const isIpv6 = random() < opts.ipv6Share;
        const length = isIpv6 ? ipv6Length(random()) : ipv4Length(random());
        const words = isIpv6
            ? [
                IPV6_FIRST_WORD + Math.floor(random() * IPV6_FIRST_WORD),
                ...Array.from({ length: 3 }, () => random() * WORD_RANGE),
            ]
            : [random() * WORD_RANGE];
        const address = words.map((word, index) => maskWord(word, length - index * BITS_PER_WORD));
        const prefix = `${address.join(":")}/${length}`;
        if (!seen.has(prefix)) {
            seen.add(prefix);
            lists[isIpv6 ? 1 : 0].add(address, length, `site-${Math.floor(random() * opts.sites)}`);
        }
    }
    lists.forEach(list => list.sort());
    return [...lists];
}

/** 60 % /24, 25 % /20 to /23, 5 % /16 to /19, 10 % /25 to /32. */
function ipv4Length(random: number): number {
    if (random < 0.6) {
        return 24;
    }
    return random < 0.85 ?
        20 + Math.floor((random - 0.6) * 16)
        : random < 0.9 ?
        16 + Math.floor((random - 0.85) * 80)
        : 25 + Math.floor((random - 0.9) * 80);
}

/** 60 % /48, 25 % /32 to /47, 12 % /56, 3 % /64. */
function ipv6Length(random: number): number {
    if (random < 0.6) {
        return 48;
    }
    return random < 0.85 ? 32 + Math.floor((random - 0.6) * 64) : random < 0.97 ? 56 : 64;
}

function maskWord(word: number, prefixBits: number): number {
    if (prefixBits <= 0) {
        return 0;
    }
    const shift = Math.max(BITS_PER_WORD - prefixBits, 0);
    return (word >>> shift << shift) >>> 0;
}
