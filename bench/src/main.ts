import { capacityBench } from "./capacityBench.js";
import { cutHostsBench } from "./cutHostsBench.js";
import { deliveryBench } from "./deliveryBench.js";
import { limitedTargetsBench } from "./limitedTargetsBench.js";
import { limitsBench } from "./limitsBench.js";
import { limitsFairnessBench } from "./limitsFairnessBench.js";
import { passthroughBench } from "./passthroughBench.js";
import { placementBench } from "./placementBench.js";
import { responseReaderBench } from "./responseReaderBench.js";
import { runSubcommand } from "./runSubcommand.js";
import { steeringBench } from "./steeringBench.js";
import { storeRestoredBench } from "./storeRestoredBench.js";

await runSubcommand("bench", process.argv.slice(2), {
    capacity: capacityBench,
    "cut-hosts": cutHostsBench,
    delivery: deliveryBench,
    limits: limitsBench,
    "limited-targets": limitedTargetsBench,
    "limits-fairness": limitsFairnessBench,
    passthrough: passthroughBench,
    placement: placementBench,
    "response-reader": responseReaderBench,
    steering: steeringBench,
    "store-restored": storeRestoredBench,
});
