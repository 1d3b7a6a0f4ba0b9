export type { Endpoint } from "./endpoint.js";
export { lingerOnClose } from "./lingerOnClose.js";
export { listen } from "./listen.js";
export { malformedFailure } from "./malformedFailure.js";
export { monotonicNow } from "./monotonicNow.js";
export { parseEndpoint } from "./parseEndpoint.js";
export { rejectMalformed } from "./rejectMalformed.js";
