export { EntryHostRanking } from "./entryHostRanking.js";
