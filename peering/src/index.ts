export type { PeerHandler, PeerIdentity, PeerMesh, PeerMessage } from "./peerMesh.js";
