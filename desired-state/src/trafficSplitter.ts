import type { Route } from "./route.js";

interface WeightedService {
    readonly service: string;
    readonly weight: number;
    currentWeight: number;
}

/** Distributes the requests of each route by smooth weighted round robin: shares are accurate over few requests too. */
export class TrafficSplitter {
    /**
     * Keyed by the route itself, which belongs to one version of the desired state: neither a route of the same name nor a request
     * that was admitted under another version uses its parts.
     */
    private readonly parts = new WeakMap<Route, WeightedService[]>();

    /** The service for the next request of the route. */
    chooseService(route: Route): string {
        const [onlyPart] = route.parts;
        return route.parts.length === 1 && onlyPart !== undefined ? onlyPart.service : this.chooseByWeight(route);
    }

    private chooseByWeight(route: Route): string {
        let parts = this.parts.get(route);
        if (parts === undefined) {
            // Random initial weights keep hosts from all sending their first requests to the same service.
            parts = route.parts.map(part => ({ ...part, currentWeight: Math.random() * part.weight }));
            this.parts.set(route, parts);
        }
        const total = parts.reduce((sum, { weight }) => sum + weight, 0);
        parts.forEach(part => part.currentWeight += part.weight);
        const chosen = parts.reduce((best, part) => part.currentWeight > best.currentWeight ? part : best);
        chosen.currentWeight -= total;
        return chosen.service;
    }
}
