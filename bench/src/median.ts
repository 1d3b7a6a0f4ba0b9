/** The middle value, the upper of the two for an even count; NaN without values. */
export function median(values: readonly number[]): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)] ?? NaN;
}
