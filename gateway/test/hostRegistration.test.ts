import { Logger } from "@pistachioreel/logging";
import { Failure } from "@pistachioreel/result-code";
import { err, ok } from "neverthrow";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HostRegistration } from "../src/hostRegistration.js";

async function register(opts: { isFirstStart?: boolean; isRegistered?: boolean; failures?: number; }) {
    const { isFirstStart = false, isRegistered = false, failures = 0 } = opts;
    let calls = 0;
    await new HostRegistration({
        host: {
            hostId: "h",
            peers: "10.0.0.1:1",
            callers: "10.0.0.1:2",
            availabilityZone: "a",
            region: "r",
            cores: 1,
        },
        platform: {
            announce: async () => ++calls > failures ? ok(undefined) : err(new Failure("storeUnreachable")),
        },
        platformState: { knowsHosts: true, hasRegistered: () => isRegistered },
        isFirstStart,
        logger: new Logger("registration-test", { write: () => undefined }),
        signal: new AbortController().signal,
    }).run();
    return calls;
}

describe("registration of a host", () => {
    it("makes no call at a restart, when the store still lists the host", async () => {
        assert.equal(await register({ isRegistered: true }), 0);
    });

    it("makes one call at the first start", async () => {
        assert.equal(await register({ isFirstStart: true }), 1);
    });

    it("is repeated until the store accepts it", async () => {
        assert.equal(await register({ failures: 1 }), 2);
    });
});
