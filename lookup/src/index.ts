export { BlockList } from "./blockList.js";
export { BlockPart } from "./blockPart.js";
export { BlockTable } from "./blockTable.js";
export { decodePart } from "./decodePart.js";
export { type EncodedPart, encodePart } from "./encodePart.js";
export { EntryHostRanking } from "./entryHostRanking.js";
export { parseAddress } from "./parseAddress.js";
export { parseBlock } from "./parseBlock.js";
export { partitionBlocks } from "./partitionBlocks.js";
