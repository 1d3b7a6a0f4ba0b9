/** Route of the small deployment. */
interface RouteOptions {
    readonly name: string;
    readonly prefix: string;
    readonly type: "safe" | "unsafe" | "upload";
    readonly service: string;
    readonly timeoutMs: number;
}

const SERVICES = ["visit-planner", "attest-core", "deed-vault"];

/** Routes as on the site `ssm-witness`. */
const ROUTES: readonly RouteOptions[] = [
    { name: "r-schedule", prefix: "/schedule/", type: "safe", service: "visit-planner", timeoutMs: 2_000 },
    { name: "r-sign", prefix: "/sign/", type: "unsafe", service: "attest-core", timeoutMs: 2_500 },
    { name: "r-scan", prefix: "/scan/", type: "upload", service: "deed-vault", timeoutMs: 2_000 },
    { name: "r-archive", prefix: "/archive/", type: "safe", service: "deed-vault", timeoutMs: 8_000 },
];

export const HOST_NAME = "witness.example";
export const KEY = "9anu6wsjnbanfqasnmgk";
export const TENANT = "sese880";

/** The operator's desired state. The limits are those that `fleetbench wire` prints. */
export function desiredState() {
    return {
        version: "r7",
        services: SERVICES.map(name => ({
            name,
            health_path: "/health",
            max_conns: 360,
            cold_start: "3s",
            cold_per_s: 9.2,
        })),
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 67_108_864,
            header_timeout: "3000ms",
            idle_timeout: "15000ms",
        },
        tenants: [{ name: TENANT, api_keys: [KEY], priority: 1, rate_per_s: 0, burst: 0, allowed_regions: [] }],
        hosts: [{
            host: HOST_NAME,
            paths: ROUTES.map(({ name, prefix, type, service, timeoutMs }) => ({
                name,
                path_prefix: prefix,
                type,
                service,
                timeout: `${timeoutMs}ms`,
                target_latency: "400ms",
                max_attempts: 2,
                priority: 1,
                public: false,
                sticky_sessions: false,
                allowed_regions: [],
            })),
        }],
    };
}

/** Entry of a server that is ready and not cold. */
export function serverEntry(address: string, service: string, slots: number) {
    return {
        address,
        born: 1_700_000_000_000,
        info: { service, version: "v1", zone: "tbs-a", slots },
        status: { state: "ready", seq: 1, cold_left: "0ms" },
    };
}
