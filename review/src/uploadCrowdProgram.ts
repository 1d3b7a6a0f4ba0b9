import { setTimeout as sleep } from "node:timers/promises";
import { CrowdChannel } from "./crowdChannel.js";
import { crowdRequestHead } from "./crowdRequestHead.js";

const TENANTS = 8;
const DEADLINE_MS = 2_000;
const PAUSE_MS = 50;
const COUNTS_EVERY_MS = 500;
const [, , address = "", clients, bytes] = process.argv;
const body = Buffer.alloc(Number(bytes), "x");
const counts: Record<string, number> = {};
let sent = 0;

/** A client that uploads a body in one piece, again and again, each time on a new channel. */
async function upload(client: number): Promise<never> {
    for (;;) {
        const channel = new CrowdChannel({ address });
        const head = crowdRequestHead({
            method: "POST",
            path: "/scan/deed",
            id: `upload-${++sent}`,
            tenant: client % TENANTS,
            deadlineMs: DEADLINE_MS,
            lines: [`Content-Length: ${body.length}`],
        });
        const outcome = await channel.send(head, body);
        counts[outcome] = (counts[outcome] ?? 0) + 1;
        channel.close();
        await sleep(PAUSE_MS);
    }
}

for (let client = 0; client < Number(clients); client++) {
    void upload(client);
}
process.stdout.on("error", () => process.exit());
setInterval(() => process.stdout.write(`${JSON.stringify({ sent, ...counts })}\n`), COUNTS_EVERY_MS);
