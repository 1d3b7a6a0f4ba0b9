import { Fleet, type FleetTarget, type LoopbackNetwork } from "@pistachioreel/testing";
import { readFileSync } from "node:fs";
import type { Deployment } from "./deployment.js";

const HOST_COUNT = 10;
const TARGET_GROUP = 2;

/** Starts an example deployment as processes: the store, the 36 targets of its inventory and ten entry hosts. */
export function startDeployment({ name, regions }: Deployment): Promise<Fleet> {
    const zones = regions.flatMap(region =>
        [`${region}-a`, `${region}-b`].map(availabilityZone => ({ availabilityZone, region }))
    );
    return Fleet.start({
        hosts: Array.from({ length: HOST_COUNT }, (_, index) => zones[index % zones.length] as (typeof zones)[number]),
        targets: network => readTargets(`examples/${name}/inventory.csv`, network),
        rules: readFileSync(`examples/${name}/rules.jsonc`, "utf8"),
    });
}

/** Reads the targets of an example inventory and gives them loopback addresses. */
function readTargets(file: string, network: LoopbackNetwork): FleetTarget[] {
    const [header = "", ...rows] = readFileSync(file, "utf8").trim().split("\n");
    const columns = header.split(",");
    return rows.map((row, index) => {
        const cells = row.split(",");
        const cell = (column: string) => cells[columns.indexOf(column)] ?? "";
        return {
            address: network.address(TARGET_GROUP, index),
            port: Number(cell("port")),
            availabilityZone: cell("availability_zone"),
            region: cell("region"),
            service: cell("service"),
            slots: Number(cell("slots")),
        };
    });
}
