export { DecayingRate } from "./decayingRate.js";
export { DistributedRateLimiter } from "./distributedRateLimiter.js";
export { type LoanPeer } from "./loanPeer.js";
export { loanTerms } from "./loanTerms.js";
export { ReplicatedLimits } from "./replicatedLimits.js";
export { ReplicatedTokenBucket } from "./replicatedTokenBucket.js";
export type { ShareView } from "./shareView.js";
export { TokenBucket } from "./tokenBucket.js";
export { WorkspaceLimit } from "./workspaceLimit.js";
