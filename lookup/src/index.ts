export { BlockList } from "./blockList.js";
export { BlockPart } from "./blockPart.js";
export { BlockTable } from "./blockTable.js";
export { EntryHostRanking } from "./entryHostRanking.js";
export { parseAddress } from "./parseAddress.js";
export { parseBlock } from "./parseBlock.js";
export { partitionBlocks } from "./partitionBlocks.js";
