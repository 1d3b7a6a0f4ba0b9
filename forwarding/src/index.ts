export { ConnectionPool } from "./connectionPool.js";
export { endToEndHeaders } from "./endToEndHeaders.js";
export type { ExchangeResult } from "./exchangeResult.js";
export { headerValue } from "./headerValue.js";
export { HOP_BY_HOP_HEADERS } from "./hopByHopHeaders.js";
export type { ResponseMatcher } from "./responseMatcher.js";
export { ResponseMemory } from "./responseMemory.js";
export type { TargetRequest } from "./targetRequest.js";
export type { TargetResponse } from "./targetResponse.js";
