export type { CallCount } from "./callCount.js";
export { type HostList, type ListedHost, listedHostSchema } from "./hostList.js";
export { HttpObjectStore } from "./httpObjectStore.js";
export type { ObjectStore, StoreChange, StoredObject, WriteCondition } from "./objectStore.js";
