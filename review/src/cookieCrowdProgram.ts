import { setTimeout as sleep } from "node:timers/promises";
import { CrowdChannel } from "./crowdChannel.js";
import { crowdRequestHead } from "./crowdRequestHead.js";

const TENANTS = 8;
const DEADLINE_MS = 2_000;
const PAUSE_MS = 20;
const COUNTS_EVERY_MS = 500;
const [, , address = "", clients, cookieBytes] = process.argv;
const filling = "k".repeat(Number(cookieBytes));
const counts: Record<string, number> = {};
let sent = 0;

/** A client that reads the schedule of one object after the other on a kept channel; the names of the objects are long. */
async function read(client: number): Promise<never> {
    for (;;) {
        const channel = new CrowdChannel({ address });
        while (channel.canSend) {
            const object = `${++sent}-${filling}`;
            const head = crowdRequestHead({
                method: "GET",
                path: "/schedule/day",
                id: `read-${sent}`,
                tenant: client % TENANTS,
                deadlineMs: DEADLINE_MS,
                lines: [`Cookie: X-Affinity-Key=${object}`],
            });
            const outcome = await channel.send(head);
            counts[outcome] = (counts[outcome] ?? 0) + 1;
            await sleep(PAUSE_MS);
        }
        await sleep(PAUSE_MS);
    }
}

for (let client = 0; client < Number(clients); client++) {
    void read(client);
}
process.stdout.on("error", () => process.exit());
setInterval(() => process.stdout.write(`${JSON.stringify({ sent, ...counts })}\n`), COUNTS_EVERY_MS);
