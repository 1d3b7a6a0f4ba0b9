import { createServer } from "node:http";
import { Pool } from "undici";

/**
 * Minimal proxy, the baseline of `passthroughBench`: undici streams each response into the Node response, and the
 * targets are used in turn. Arguments: address, port, then targets as `address:port`. Prints `listening` when ready.
 */
const [address = "127.0.0.1", port = "0", ...targets] = process.argv.slice(2);
const pools = targets.map(target => new Pool(`http://${target}`, { connections: 360 }));
let requestCount = 0;

const server = createServer((request, response) => {
    const pool = pools[requestCount++ % pools.length] as Pool;
    const { method = "GET", url: path = "/", headers } = request;
    pool.stream(
        { method: method as "GET", path, headers: { "x-marker": String(headers["x-marker"] ?? "") } },
        ({ statusCode, headers: responseHeaders }) => {
            const { "content-type": type, "content-length": length } = responseHeaders;
            response.writeHead(statusCode, { "content-type": String(type), "content-length": String(length) });
            return response;
        },
    ).catch(() => response.destroy());
});
server.listen(Number(port), address, () => process.stdout.write("listening\n"));
