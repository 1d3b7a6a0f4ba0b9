import { request as sendRequest } from "node:http";
import { HOST_NAME, KEY } from "./documents.js";

interface SlowDownloadOptions {
    /** `address:port` of the host. */
    readonly address: string;
    readonly id: string;
    readonly path: string;
    readonly timeLeftMs: number;
    /** Speed at which the client's link takes the answer. */
    readonly bytesPerSecond: number;
}

/** What a client gets. */
export interface Download {
    readonly id: string;
    readonly status: number | undefined;
    readonly hasLength: boolean;
    readonly bytes: number;
    /** Whether the answer is complete by the rules of the protocol. */
    readonly isComplete: boolean;
    readonly reason: string | undefined;
    readonly tookMs: number;
}

const STEP_MS = 10;
const MS_PER_SECOND = 1_000;

/** Gets one answer at the speed of the client's link. */
export function slowDownload(
    { address, id, path, timeLeftMs, bytesPerSecond }: SlowDownloadOptions,
): Promise<Download> {
    const [host, port] = address.split(":");
    const sentAt = performance.now();
    return new Promise(resolve => {
        let status: number | undefined;
        let hasLength = false;
        let bytes = 0;
        const finish = (reason?: string) => {
            clearTimeout(timer);
            const isComplete = reason === undefined;
            resolve({ id, status, hasLength, bytes, isComplete, reason, tookMs: performance.now() - sentAt });
        };
        const request = sendRequest({
            host,
            port,
            path,
            headers: {
                "Host": HOST_NAME,
                "X-Request-Id": id,
                "X-Deadline-Ms": String(timeLeftMs),
                "Authorization": `Token ${KEY}`,
            },
        }, response => {
            status = response.statusCode;
            hasLength = response.headers["content-length"] !== undefined;
            const startedAt = performance.now();
            response.on("data", (chunk: Buffer) => {
                bytes += chunk.length;
                const aheadMs = bytes / bytesPerSecond * MS_PER_SECOND - (performance.now() - startedAt);
                if (aheadMs > STEP_MS) {
                    response.pause();
                    setTimeout(() => response.resume(), aheadMs);
                }
            });
            response.on("end", () => finish(response.complete ? undefined : "cut short"));
            response.on("error", error => finish(error.message));
        });
        request.on("error", error => finish(error.message));
        const timer = setTimeout(() => {
            finish("time budget over");
            request.destroy();
        }, timeLeftMs);
        request.end();
    });
}
