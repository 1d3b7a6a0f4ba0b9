import { createHash } from "node:crypto";
import type { DeliveryRequest } from "./deliveryRequest.js";
import type { RequestBody } from "./requestBody.js";

/** Identifies repeats of a request: SHA-256 of its idempotency key, or of method, URL and the first 64 KiB of body. */
export function suspectDigest({ idempotencyKey, request }: DeliveryRequest, body: RequestBody | undefined): string {
    const hash = createHash("sha256");
    if (idempotencyKey !== undefined) {
        return hash.update(`key\n${idempotencyKey}`).digest("hex");
    }
    return hash.update(`${request.method}\n${request.url}\n`).update(body?.head ?? "").digest("hex");
}
