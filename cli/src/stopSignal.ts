/** Resolves at the first SIGTERM or SIGINT. */
export function stopSignal(): Promise<void> {
    return new Promise(resolve => {
        process.once("SIGTERM", () => resolve());
        process.once("SIGINT", () => resolve());
    });
}
