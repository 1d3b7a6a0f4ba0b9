import { once } from "node:events";

/** Whether this host follows the store itself, or gets changes from other hosts only. */
export class StoreGate {
    private readonly opening = new EventTarget();
    private open = false;

    get isOpen(): boolean {
        return this.open;
    }

    /** Opens or closes the gate. A call to the store that is running when the gate closes goes on. */
    set(isOpen: boolean): void {
        this.open = isOpen;
        if (isOpen) {
            this.opening.dispatchEvent(new Event("open"));
        }
    }

    /** Waits until the gate is open or the signal aborts. */
    async waitUntilOpen(signal: AbortSignal): Promise<void> {
        while (!this.open && !signal.aborted) {
            await once(this.opening, "open", { signal }).catch(() => undefined);
        }
    }
}
