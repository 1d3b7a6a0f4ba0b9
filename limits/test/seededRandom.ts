/** Pseudo-random numbers from 0 to below 1, the same for the same seed. */
export function seededRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = state * 48_271 % 0x7fff_ffff;
        return state / 0x7fff_ffff;
    };
}
