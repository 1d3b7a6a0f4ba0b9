export { EntryHost } from "./entryHost.js";
export { LookupResolver } from "./lookupResolver.js";
