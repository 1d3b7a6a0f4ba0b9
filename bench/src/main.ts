import { capacityBench } from "./capacityBench.js";
import { deliveryBench } from "./deliveryBench.js";
import { limitedTargetsBench } from "./limitedTargetsBench.js";
import { limitsBench } from "./limitsBench.js";
import { limitsFairnessBench } from "./limitsFairnessBench.js";
import { passthroughBench } from "./passthroughBench.js";
import { placementBench } from "./placementBench.js";
import { runSubcommand } from "./runSubcommand.js";
import { steeringBench } from "./steeringBench.js";

await runSubcommand("bench", process.argv.slice(2), {
    capacity: capacityBench,
    delivery: deliveryBench,
    limits: limitsBench,
    "limited-targets": limitedTargetsBench,
    "limits-fairness": limitsFairnessBench,
    passthrough: passthroughBench,
    placement: placementBench,
    steering: steeringBench,
});
