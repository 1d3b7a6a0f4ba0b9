export { type LoanPartner } from "./loanPartner.js";
export { loanTerms } from "./loanTerms.js";
export { SharedBucket } from "./sharedBucket.js";
export { ShareLedger } from "./shareLedger.js";
export type { ShareView } from "./shareView.js";
export { TokenBucket } from "./tokenBucket.js";
export { WorkspaceLimit } from "./workspaceLimit.js";
