import type { Route } from "./route.js";

interface SplitPart {
    readonly service: string;
    readonly weight: number;
    credit: number;
}

/** Divides the requests of routes among their services so that each share is exact over any few requests. */
export class TrafficSplitter {
    private readonly parts = new Map<string, SplitPart[]>();

    /** Forgets the state of earlier weights; to be called for each new desired state. */
    reset(): void {
        this.parts.clear();
    }

    /** The service for the next request of the route. */
    chooseService(route: Route): string {
        const [only] = route.parts;
        return route.parts.length === 1 && only !== undefined ? only.service : this.chooseByWeight(route);
    }

    private chooseByWeight(route: Route): string {
        let parts = this.parts.get(route.name);
        if (parts === undefined) {
            // A random start keeps hosts from sending their first requests to the same part.
            parts = route.parts.map(part => ({ ...part, credit: Math.random() * part.weight }));
            this.parts.set(route.name, parts);
        }
        const total = parts.reduce((sum, { weight }) => sum + weight, 0);
        parts.forEach(part => part.credit += part.weight);
        const chosen = parts.reduce((best, part) => part.credit > best.credit ? part : best);
        chosen.credit -= total;
        return chosen.service;
    }
}
