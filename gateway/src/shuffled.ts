/** Returns the items in random order. */
export function shuffled<T>(items: readonly T[]): T[] {
    return items.map(item => ({ item, position: Math.random() }))
        .sort((a, b) => a.position - b.position)
        .map(({ item }) => item);
}
