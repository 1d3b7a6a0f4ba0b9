export { KeyLedger } from "./keyLedger.js";
export type { KeyRecord } from "./keyRecord.js";
export { KeyVerifier } from "./keyVerifier.js";
export { mintKey } from "./mintKey.js";
