import type { Deployment } from "./deployment.js";

const UPLOAD_BYTES = 2 * 1024 * 1024;

/** The deployments under `examples/` that the demo runs, one after the other. */
export const deployments: readonly Deployment[] = [
    {
        name: "sakartvelo",
        regions: ["tbilisi", "kutaisi", "batumi"],
        workspaces: ["tbilisi-bank", "notaries", "field-staff", "auditors"],
        requestKinds: [
            { method: "GET", path: "/visits/today", isIdempotent: true, bodyBytes: 0, weight: 12 },
            { method: "POST", path: "/signatures", isIdempotent: false, bodyBytes: 300, weight: 4 },
            { method: "POST", path: "/scans", isIdempotent: true, bodyBytes: UPLOAD_BYTES, weight: 1 },
            { method: "GET", path: "/archive/2025", isIdempotent: true, bodyBytes: 0, weight: 2 },
        ],
    },
    {
        name: "swanbourne",
        regions: ["perth", "bunbury", "albany"],
        workspaces: ["dealers-north", "dealers-south", "growers", "builders"],
        requestKinds: [
            { method: "GET", path: "/prices/barn-12", isIdempotent: true, bodyBytes: 0, weight: 8 },
            { method: "GET", path: "/stock/barn-12", isIdempotent: true, bodyBytes: 0, weight: 6 },
            { method: "POST", path: "/orders", isIdempotent: false, bodyBytes: 400, weight: 2 },
            { method: "POST", path: "/deposits", isIdempotent: false, bodyBytes: 200, weight: 1 },
            { method: "POST", path: "/plans", isIdempotent: true, bodyBytes: UPLOAD_BYTES, weight: 1 },
            { method: "GET", path: "/catalogue", isIdempotent: true, bodyBytes: 0, weight: 2 },
        ],
    },
];
