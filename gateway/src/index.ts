export { type AnnouncedHost, announcedHostSchema } from "./announcedHost.js";
export type { CallerRequest } from "./callerRequest.js";
export type { Dialect } from "./dialect.js";
export { Gateway } from "./gateway.js";
export { LineWriter } from "./lineWriter.js";
export { parseGatewaySettings } from "./parseGatewaySettings.js";
export type { PlatformAccess } from "./platformAccess.js";
export type { ResponseInterpretation } from "./responseInterpretation.js";
export type { GatewaySettings } from "./settings.js";
