export { EntryHost } from "./entryHost.js";
