import { deliveryFuzz } from "./deliveryFuzz.js";
import { runNamed } from "./runNamed.js";

await runNamed("fuzz", process.argv.slice(2), { delivery: deliveryFuzz });
