export { newIncarnation } from "./incarnation.js";
export type { LinkTraffic } from "./linkTraffic.js";
export type { HeartbeatPart, PeerHandler, PeerIdentity, PeerMesh, PeerMessage } from "./peerMesh.js";
export { WebSocketMesh } from "./webSocketMesh.js";
