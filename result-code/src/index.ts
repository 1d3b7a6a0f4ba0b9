export { Failure } from "./failure.js";
export { resultCodes } from "./resultCodes.js";
