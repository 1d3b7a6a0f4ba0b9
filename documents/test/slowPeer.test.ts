import { ok } from "neverthrow";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { DocumentReplicator } from "../src/documentReplicator.js";

const SETTLING_MS = 50;

/** Offers a document whose chunks have the given size; resolves to the number of pulls, and whether it was applied. */
async function pullFrom({ chunkBytes, size }: { readonly chunkBytes: number; readonly size: number; }) {
    let pulls = 0;
    let isApplied = false;
    const replicator = new DocumentReplicator({
        peers: {
            request: (_host, message) => {
                pulls++;
                const bytes = Buffer.alloc(Math.min(chunkBytes, size - Number(message["offset"])), "a");
                return Promise.resolve(ok({ type: "document", name: "config", version: 2, digest: "d", size, bytes }));
            },
        },
        documentOf: () => undefined,
        applyIfNewer: () => {
            isApplied = true;
            return ok(true);
        },
    });
    replicator.handleVersions("h1", { config: 2 });
    await sleep(SETTLING_MS);
    return { pulls, isApplied };
}

describe("documents that a peer sends in chunks", () => {
    it("are given up if the chunks are tiny, which collected an object for each byte", async () => {
        const { pulls, isApplied } = await pullFrom({ chunkBytes: 1, size: 2_000 });
        assert.ok(pulls <= 2, `${pulls} pulls`);
        assert.equal(isApplied, false);
    });

    it("are given up if they are stated to be larger than any document", async () => {
        const { pulls } = await pullFrom({ chunkBytes: 96 * 1024, size: 1e12 });
        assert.ok(pulls <= 2, `${pulls} pulls`);
    });

    it("are applied if only the last chunk is small", async () => {
        assert.equal((await pullFrom({ chunkBytes: 96 * 1024, size: 200_000 })).isApplied, true);
    });
});
