export type { CallCount } from "./callCount.js";
export { decodeResponse } from "./decodeResponse.js";
export { type HostList, type ListedHost, listedHostSchema } from "./hostList.js";
export { HttpObjectStore } from "./httpObjectStore.js";
export type { FeedEntry, FeedPage, ObjectFeed } from "./objectFeed.js";
export type { ObjectStore, StoreChange, StoredObject, WriteCondition } from "./objectStore.js";
export { StoreConnection } from "./storeConnection.js";
