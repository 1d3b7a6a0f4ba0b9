export type { AnswerOwnership } from "./answerOwnership.js";
export { ConnectionPool } from "./connectionPool.js";
export { endToEndHeaders } from "./endToEndHeaders.js";
export type { ExchangeResult } from "./exchangeResult.js";
export { headerValue } from "./headerValue.js";
export { HOP_BY_HOP_HEADERS } from "./hopByHopHeaders.js";
export type { TargetAnswer } from "./targetAnswer.js";
export type { TargetRequest } from "./targetRequest.js";
