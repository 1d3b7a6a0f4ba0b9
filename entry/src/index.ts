export { EntryHost } from "./entryHost.js";
export { LookupAnswer } from "./lookupAnswer.js";
