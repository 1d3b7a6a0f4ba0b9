import { setTimeout as sleep } from "node:timers/promises";
import { Deployment } from "./deployment.js";
import { runCase } from "./runCase.js";
import { type Download, slowDownload } from "./slowDownload.js";

// A host is stopped while it sends answers to clients with slow links. Each answer would be complete within the grace time. Half
// of the answers of the servers have no length and end with their channel.

const BODY_BYTES = 30_000_000;
/** At this speed an answer takes 5 s; the host has 6 s. */
const BYTES_PER_SECOND = 6_000_000;
const PATHS = ["/archive/with-length", "/archive/without-length"];
const CLIENTS_PER_PATH = 2;
const CLIENT_GAP_MS = 100;
const TIME_LEFT_MS = 8_000;
const MEMORY_INTERVAL_MS = 20;
const MB = 1_000_000;
const body = Buffer.alloc(BODY_BYTES, "0123456789abcdef");

void runCase(async ({ record, hasTrouble }) => {
    const deployment = await Deployment.start({
        hosts: 2,
        servers: [{ service: "deed-vault", count: 4, slots: 6, workMs: 100 }],
        bodyOf: () => body,
        interfere: ({ path }, response, { head }) => {
            if (path !== PATHS[1]) {
                return false;
            }
            const lines = ["HTTP/1.1 200 OK", ...head.map(([name, value]) => `${name}: ${value}`), "Connection: close"];
            response.socket?.write(`${lines.join("\r\n")}\r\n\r\n`);
            response.socket?.end(body);
            return true;
        },
    });
    const host = deployment.hosts[0]!;
    let peakBytes = 0;
    const watch = setInterval(() => peakBytes = Math.max(peakBytes, host.residentBytes), MEMORY_INTERVAL_MS);
    const downloads: Promise<Download>[] = [];
    for (let client = 0; client < CLIENTS_PER_PATH; client++) {
        for (const path of PATHS) {
            const id = `${path.split("/")[2]}.${client}`;
            record.add("sent", { id, path });
            const { callers: address } = host.addresses;
            downloads.push(
                slowDownload({ address, id, path, timeLeftMs: TIME_LEFT_MS, bytesPerSecond: BYTES_PER_SECOND }),
            );
            await sleep(CLIENT_GAP_MS);
        }
    }
    if (hasTrouble) {
        record.add("SIGTERM", { host: host.hostId });
        host.signal("SIGTERM");
    }
    const answers = await Promise.all(downloads);
    for (const { tookMs, reason, ...answer } of answers) {
        record.add("answered", { ...answer, reason: reason?.replaceAll(" ", "-"), tookMs: Math.round(tookMs) });
    }
    deployment.runs.forEach(({ id, server }) => record.add("ran", { id, server }));
    clearInterval(watch);
    await deployment.stop();
    const short = answers.filter(({ status, bytes }) => status === 200 && bytes < BODY_BYTES);
    const looksComplete = short.filter(({ isComplete }) => isComplete);
    return {
        isBroken: short.length > 0,
        summary: `MIXED: ${looksComplete.length} of ${answers.length} successes look complete and have only`
            + ` ${looksComplete.map(({ bytes }) => bytes).join(", ") || "-"} of ${BODY_BYTES} bytes; LOST:`
            + ` ${short.length - looksComplete.length} more were cut short; peak memory ${
                Math.round(peakBytes / MB)
            } MB`,
    };
});
