export { Configuration } from "./configuration.js";
export type { ConfigurationChange } from "./configurationChange.js";
export { diffConfigurations } from "./diffConfigurations.js";
export type { Target } from "./inventory.js";
export { parseInventory } from "./parseInventory.js";
export { parseRules } from "./parseRules.js";
export { parseSettings } from "./parseSettings.js";
export type { Route, Rules } from "./rules.js";
export type { Settings } from "./settings.js";
