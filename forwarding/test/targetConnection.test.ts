import assert from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { ConnectionPool } from "../src/connectionPool.js";
import { headerValue } from "../src/headerValue.js";
import type { ResponseMatcher } from "../src/responseMatcher.js";
import type { TargetRequest } from "../src/targetRequest.js";

const matcher: ResponseMatcher = {
    matchResponse(requestId, _status, headers) {
        const id = headerValue(headers, "x-id");
        return id === undefined ? "invalid" : id === requestId ? "own" : "stray";
    },
};

function request(id: string, opts: Partial<TargetRequest> = {}): TargetRequest {
    return { id, method: "GET", path: `/${id}`, headers: ["Host", "a"], body: undefined, ...opts };
}

function answer(id: string, body = `body of ${id}`): string {
    return `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

function unframed(id: string, body: string): string {
    return `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\n\r\n${body}`;
}

describe("connection to a target", () => {
    let server: Server;
    let port: number;
    let connections = 0;
    const pools: ConnectionPool[] = [];
    const sockets = new Set<Socket>();
    /** What the server does with the bytes of one request. */
    let behave: (socket: Socket, id: string) => void;

    before(async () => {
        server = createServer(socket => {
            connections++;
            sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("data", bytes => {
                const id = /^\w+ \/(\S+)/.exec(bytes.toString())?.[1];
                if (id !== undefined) {
                    behave(socket, id);
                }
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        port = (server.address() as { port: number; }).port;
    });
    after(() => {
        pools.forEach(pool => pool.close());
        sockets.forEach(socket => socket.destroy());
        server.close();
    });

    function newPool(address = `127.0.0.1:${port}`): ConnectionPool {
        const pool = new ConnectionPool({ address, matcher, now: () => performance.now() });
        pools.push(pool);
        return pool;
    }

    function exchange(pool: ConnectionPool, id: string, signal = new AbortController().signal) {
        return pool.exchange(() => request(id), signal, true);
    }

    it("uses a connection again after a whole answer", async () => {
        behave = (socket, id) => socket.write(answer(id));
        const pool = newPool();
        connections = 0;
        for (const id of ["a", "b", "c"]) {
            const result = await exchange(pool, id);
            assert.equal(result.end === "answered" && result.response.body.toString(), `body of ${id}`);
        }
        assert.equal(connections, 1);
        pool.close();
    });

    it("guards against an answer to an earlier request being taken for the answer to this one", async () => {
        behave = (socket, id) => socket.write(answer("earlier") + answer(id));
        const pool = newPool();
        const result = await exchange(pool, "mine");
        assert.equal(result.end === "answered" && result.response.body.toString(), "body of mine");
        pool.close();
    });

    it("guards against surplus bytes being read as the next answer", async () => {
        behave = (socket, id) => socket.write(`${answer(id)}surplus`);
        const pool = newPool();
        connections = 0;
        await exchange(pool, "a");
        behave = (socket, id) => socket.write(answer(id));
        const result = await exchange(pool, "b");
        assert.equal(result.end === "answered" && result.response.body.toString(), "body of b");
        assert.equal(connections, 2);
        pool.close();
    });

    it("guards against bytes that arrive on an idle connection", async () => {
        behave = (socket, id) => {
            socket.write(answer(id));
            setTimeout(() => socket.write(answer("late")), 30);
        };
        const pool = newPool();
        connections = 0;
        await exchange(pool, "a");
        await sleep(80);
        await exchange(pool, "b");
        assert.equal(connections, 2);
        pool.close();
    });

    it("guards against an answer that ends early looking whole", async () => {
        behave = (socket, id) => socket.end(answer(id).slice(0, -3));
        assert.equal((await exchange(newPool(), "short")).end, "lost");
        behave = (socket, id) =>
            socket.end(`HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n`);
        assert.equal((await exchange(newPool(), "chunks")).end, "lost");
    });

    it("tells an answer without a length that ends in order from one that is reset", async () => {
        behave = (socket, id) => socket.end(unframed(id, "all of it"));
        const whole = await exchange(newPool(), "whole");
        assert.equal(whole.end === "answered" && whole.response.body.toString(), "all of it");
        assert.equal(whole.end === "answered" && whole.response.isFramed, false);
        behave = (socket, id) => {
            socket.write(unframed(id, "some of it"));
            setTimeout(() => socket.resetAndDestroy(), 30);
        };
        assert.equal((await exchange(newPool(), "reset")).end, "lost");
    });

    it("guards against bytes that are no answer", async () => {
        behave = socket => socket.write("no answer at all\r\n\r\n");
        assert.equal((await exchange(newPool(), "garbage")).end, "lost");
        behave = socket => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assert.equal((await exchange(newPool(), "anonymous")).end, "lost");
    });

    it("says that nothing was sent if the target cannot be reached", async () => {
        const closed = createServer();
        await new Promise<void>(resolve => closed.listen(0, "127.0.0.1", resolve));
        const { port: closedPort } = closed.address() as { port: number; };
        await new Promise(resolve => closed.close(resolve));
        assert.equal((await exchange(newPool(`127.0.0.1:${closedPort}`), "a")).end, "unsent");
    });

    it("guards against work that goes on at the target after its caller has left", async () => {
        let hasClosed = false;
        behave = socket => socket.once("close", () => hasClosed = true);
        const caller = new AbortController();
        const running = exchange(newPool(), "left", caller.signal);
        await sleep(50);
        caller.abort();
        assert.equal((await running).end, "lost");
        await sleep(50);
        assert.ok(hasClosed);
    });

    it("sends a body with its length", async () => {
        let seen = "";
        const echo = createServer(socket => {
            socket.on("data", bytes => {
                seen += bytes.toString();
                if (seen.endsWith("payload")) {
                    socket.write(answer("body"));
                }
            });
        });
        await new Promise<void>(resolve => echo.listen(0, "127.0.0.1", resolve));
        const { port: echoPort } = echo.address() as { port: number; };
        const pool = newPool(`127.0.0.1:${echoPort}`);
        const sent = request("body", { method: "POST", body: Buffer.from("payload") });
        assert.equal((await pool.exchange(() => sent, new AbortController().signal, false)).end, "answered");
        assert.match(seen, /Content-Length: 7\r\n\r\npayload$/);
        pool.close();
        echo.close();
    });

    it("guards against a probe that leaves a connection open after the pool has closed", async () => {
        const pool = newPool();
        const probed = pool.probe(AbortSignal.timeout(1_000));
        pool.close();
        const openBefore = sockets.size;
        assert.equal(await probed, true);
        await sleep(50);
        const opened = [...sockets].slice(openBefore);
        assert.equal(opened.filter(socket => !socket.closed && !socket.readableEnded).length, 0);
    });

    it("guards against a connection for an attempt that has been ended before", async () => {
        const before = connections;
        const result = await exchange(newPool(), "late", AbortSignal.abort());
        assert.equal(result.end, "unsent");
        await sleep(50);
        assert.equal(connections, before);
    });
});
