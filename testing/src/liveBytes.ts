import { setTimeout as sleep } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Time in which buffers are freed after a garbage collection, in ms. */
const BUFFER_RELEASE_MS = 500;

/** Memory of this process that is in use after a garbage collection: heap and buffers, in bytes. */
export async function liveBytes(): Promise<number> {
    setFlagsFromString("--expose-gc");
    const collectGarbage = runInNewContext("gc") as () => void;
    collectGarbage();
    await sleep(BUFFER_RELEASE_MS);
    collectGarbage();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}
