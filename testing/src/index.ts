export { Caller } from "./caller.js";
export type { CallerRecord } from "./callerRecord.js";
export { checkRecords } from "./checkRecords.js";
export { ChildProgram } from "./childProgram.js";
export { type ConnectionFault, FaultProxy } from "./faultProxy.js";
export { Fleet, type FleetTarget } from "./fleet.js";
export { LoopbackNetwork } from "./loopbackNetwork.js";
export { runProgram } from "./runProgram.js";
export type { TargetRecord } from "./targetRecord.js";
