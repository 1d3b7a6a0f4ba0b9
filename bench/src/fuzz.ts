import { deliveryFuzz } from "./deliveryFuzz.js";
import { runSubcommand } from "./runSubcommand.js";

await runSubcommand("fuzz", process.argv.slice(2), { delivery: deliveryFuzz });
