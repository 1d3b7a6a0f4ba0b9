export { generateKey } from "./generateKey.js";
export type { KeyRecord } from "./keyRecord.js";
export { KeyRegistry } from "./keyRegistry.js";
export { KeyVerifier } from "./keyVerifier.js";
