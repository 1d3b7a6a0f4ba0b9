import { createHash } from "node:crypto";
import type { DeliveryRequest } from "./deliveryRequest.js";
import type { RequestBody } from "./requestBody.js";

/** Digest by which repeats of a request are recognized: of its idempotency key, else of method, path and 64 KiB of body. */
export function suspectDigest({ idempotencyKey, request }: DeliveryRequest, body: RequestBody | undefined): string {
    const hash = createHash("sha256");
    if (idempotencyKey !== undefined) {
        return hash.update(`key\n${idempotencyKey}`).digest("hex");
    }
    return hash.update(`${request.method}\n${request.url}\n`).update(body?.head ?? "").digest("hex");
}
