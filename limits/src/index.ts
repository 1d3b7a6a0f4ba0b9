export { TokenBucket } from "./tokenBucket.js";
