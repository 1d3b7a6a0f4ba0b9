import { Agent, type IncomingMessage, request as sendRequest } from "node:http";
import { HOST_NAME, KEY } from "./documents.js";

interface CallOptions {
    /** `address:port` of the host. */
    readonly address: string;
    readonly id: string;
    readonly path: string;
    /** Host that the request names; the first one of the deployment by default. */
    readonly hostName?: string;
    readonly method?: string;
    readonly body?: Buffer;
    readonly timeLeftMs: number;
}

/** What a client gets. */
export interface Answer {
    readonly id: string;
    /** `undefined` if the channel ended before a head. */
    readonly status: number | undefined;
    readonly headers: IncomingMessage["headers"];
    readonly body: Buffer;
    /** Whether the answer is complete by the rules of the protocol. */
    readonly isComplete: boolean;
    /** Why there is no complete answer. */
    readonly reason: string | undefined;
    /** Whether the channel was kept open from an earlier request. */
    readonly isKept: boolean;
    readonly sentAt: number;
    readonly endedAt: number;
}

/** A client that keeps its channels open for many requests. */
export class ReviewClient {
    private readonly agent = new Agent({ keepAlive: true, maxSockets: 400 });

    call({ address, id, path, method = "GET", hostName = HOST_NAME, body, timeLeftMs }: CallOptions): Promise<Answer> {
        const [host = "", port] = address.split(":");
        const sentAt = performance.now();
        return new Promise(resolve => {
            let isDone = false;
            let head: IncomingMessage | undefined;
            const chunks: Buffer[] = [];
            const finish = (reason?: string) => {
                if (isDone) {
                    return;
                }
                isDone = true;
                clearTimeout(timer);
                resolve({
                    id,
                    status: head?.statusCode,
                    headers: head?.headers ?? {},
                    body: Buffer.concat(chunks),
                    isComplete: reason === undefined,
                    reason,
                    isKept: request.reusedSocket,
                    sentAt,
                    endedAt: performance.now(),
                });
            };
            const request = sendRequest({
                host,
                port,
                path,
                method,
                agent: this.agent,
                headers: {
                    "Host": hostName,
                    "X-Request-Id": id,
                    "X-Deadline-Ms": String(timeLeftMs),
                    "Authorization": `Token ${KEY}`,
                    ...(body === undefined ? {} : { "Content-Length": body.length }),
                },
            }, response => {
                head = response;
                response.on("data", (chunk: Buffer) => chunks.push(chunk));
                response.on("end", () => finish(response.complete ? undefined : "cut short"));
                response.on("error", error => finish(error.message));
                response.on("close", () => finish("cut short"));
            });
            request.on("error", error => finish(error.message));
            const timer = setTimeout(() => {
                finish("time budget over");
                request.destroy();
            }, timeLeftMs);
            request.end(body);
        });
    }

    stop(): void {
        this.agent.destroy();
    }
}
