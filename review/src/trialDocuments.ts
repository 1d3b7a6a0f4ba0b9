/** The desired state of the trials: a route for each kind of request of ssm-witness, with the limits that the pages show. */
export function trialDesiredState(): Record<string, unknown> {
    const route = (name: string, prefix: string, more: Record<string, unknown>) => ({
        name,
        path_prefix: prefix,
        priority: 1,
        max_attempts: 2,
        public: false,
        sticky_sessions: true,
        allowed_regions: [],
        ...more,
    });
    return {
        version: "r7",
        services: ["visit-planner", "deed-vault"].map(name => ({
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
        tenants: Array.from({ length: 8 }, (_, index) => ({
            name: `tenant-${index}`,
            api_keys: [`key-of-tenant-${index}`],
            priority: 1,
            rate_per_s: 190,
            burst: 190,
            allowed_regions: [],
        })),
        hosts: [{
            host: "witness.example",
            paths: [
                route("schedule-read", "/schedule/", {
                    type: "safe",
                    timeout: "2000ms",
                    target_latency: "250ms",
                    service: "visit-planner",
                }),
                route("scan-upload", "/scan/", {
                    type: "upload",
                    timeout: "2000ms",
                    target_latency: "300ms",
                    service: "deed-vault",
                }),
                route("archive-read", "/archive/", {
                    type: "safe",
                    timeout: "8000ms",
                    target_latency: "1000ms",
                    service: "deed-vault",
                }),
            ],
        }],
    };
}
