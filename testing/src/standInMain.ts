// Runs one stand-in as a process: the store if the first argument is "store", otherwise a target.
// Prints "listening" once it accepts connections.
import { parseArgs } from "node:util";
import { StoreStandIn } from "./storeStandIn.js";
import { TargetStandIn } from "./targetStandIn.js";

const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: {
        address: { type: "string", default: "127.0.0.1" },
        port: { type: "string", default: "0" },
        slots: { type: "string", default: "4" },
        records: { type: "string", default: "/dev/null" },
        "operator-token": { type: "string" },
        "host-token": { type: "string" },
        behaviour: { type: "string", default: "{}" },
    },
});

const { server } = positionals[0] === "store" ?
    new StoreStandIn({ operator: values["operator-token"], host: values["host-token"] }) :
    new TargetStandIn({
        id: `${values.address}:${values.port}`,
        slots: Number(values.slots),
        records: values.records,
        behaviour: JSON.parse(values.behaviour) as object,
    });
server.listen(Number(values.port), values.address, () => process.stdout.write("listening\n"));
process.once("SIGTERM", () => process.exit(0));
