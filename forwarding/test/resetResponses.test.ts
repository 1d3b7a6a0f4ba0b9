import { resetConnection } from "@pistachioreel/runtime";
import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { ConnectionPool } from "../src/connectionPool.js";
import type { ExchangeResult } from "../src/exchangeResult.js";

const MB = 1024 * 1024;
/** More than the buffers of both ends of a connection hold, so that it is still being written when the response arrives. */
const UPLOAD_BYTES = 32 * MB;
/** Several, as the order in which bytes and a reset are noticed may vary. */
const ROUNDS = 10;
/** Longer than all of an exchange takes. */
const TIMEOUT_MS = 10_000;
/** Time after which a target that has ended its side reads on, in ms. */
const PAUSE_MS = 50;
const PART = "HTTP/1.1 200 OK\r\nX-Server: a\r\n\r\npart of a bo";

describe("responses without a length", () => {
    const closers: (() => void)[] = [];

    afterEach(() => closers.splice(0).forEach(close => close()));

    /** Sends a request to a target that does no more than to respond once the first bytes of it have arrived. */
    async function exchangeWith(respond: (socket: Socket) => void, body?: Buffer): Promise<ExchangeResult> {
        const target = createServer({ allowHalfOpen: true }, socket => {
            closers.push(() => socket.destroy());
            socket.on("error", () => undefined).once("data", () => {
                socket.pause();
                respond(socket);
            });
        });
        await new Promise<void>(resolve => target.listen(0, "127.0.0.1", resolve));
        const pool = new ConnectionPool({
            address: `127.0.0.1:${(target.address() as AddressInfo).port}`,
            matcher: { matchResponse: () => "own" },
            now: () => performance.now(),
        });
        closers.push(() => pool.close(), () => target.close());
        const request = { id: "1", method: "POST", path: "/", headers: ["Host", "a"], body };
        return pool.exchange(() => request, AbortSignal.timeout(TIMEOUT_MS), { isIdempotent: false });
    }

    async function assertAlwaysLost(respond: (socket: Socket) => void, body?: Buffer): Promise<void> {
        for (let round = 0; round < ROUNDS; round++) {
            const result = await exchangeWith(respond, body);
            assert.equal(result.end, "lost", `complete in round ${round}`);
        }
    }

    it("are not complete if they are reset while the upload is being written, whose callers took a part for all of it", async () => {
        await assertAlwaysLost(socket => socket.write(PART, () => resetConnection(socket)), Buffer.alloc(UPLOAD_BYTES));
    });

    it("are not complete if the target ends in order and resets what is left of the upload, as a process that dies does", async () => {
        await assertAlwaysLost(socket => socket.end(PART, () => resetConnection(socket)), Buffer.alloc(UPLOAD_BYTES));
    });

    it("are not complete if a reset arrives together with their last bytes, whose callers took a part for all of it", async () => {
        await assertAlwaysLost(socket => socket.write(PART, () => resetConnection(socket)));
    });

    it("are complete if the target ends in order, also before the upload has been written, which it reads on", async () => {
        for (const body of [undefined, Buffer.alloc(UPLOAD_BYTES)]) {
            const result = await exchangeWith(socket => {
                socket.end(PART);
                setTimeout(() => socket.resume(), PAUSE_MS);
            }, body);
            assert.equal(result.end === "answered" && result.response.body.toString(), "part of a bo");
        }
    });
});
