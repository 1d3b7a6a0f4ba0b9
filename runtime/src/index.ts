export { collectProcessMetrics } from "./collectProcessMetrics.js";
export type { Endpoint } from "./endpoint.js";
export { failureFromParserError } from "./failureFromParserError.js";
export { lingerOnClose } from "./lingerOnClose.js";
export { listen } from "./listen.js";
export { monotonicNow } from "./monotonicNow.js";
export { parseEndpoint } from "./parseEndpoint.js";
export { rejectMalformedRequest } from "./rejectMalformedRequest.js";
export { runPeriodically } from "./runPeriodically.js";
