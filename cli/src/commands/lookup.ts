import { Failure } from "@pistachioreel/result-code";
import { err, ok } from "neverthrow";
import { request } from "undici";
import { z } from "zod";
import type { Command } from "../command.js";
import { requireFlag } from "../requireFlag.js";

const RESPONSE_TIMEOUT_MS = 2_000;
/** Schema of what is read from the response of `/v1/lookup`; further fields are kept. */
const responseSchema = z.looseObject({ hosts: z.array(z.string()), lifetimeSeconds: z.number() });

/** Requests `/v1/lookup` of an entry host, as a caller does. */
export const lookup: Command = {
    name: "lookup",
    summary: "ask an entry host which entry hosts a caller should use",
    flags: ["host", "client"],
    usage: `--host ADDRESS:PORT [--client IP]

Example: pistachioreel lookup --host 10.0.0.11:7001 --client 192.0.2.7`,
    async run(input) {
        const host = requireFlag(input, "host");
        if (host.isErr()) {
            return err([host.error]);
        }
        const client = input.flags["client"];
        const query = client === undefined ? "" : `?client=${encodeURIComponent(client)}`;
        try {
            const signal = AbortSignal.timeout(RESPONSE_TIMEOUT_MS);
            const { statusCode, body } = await request(`http://${host.value}/v1/lookup${query}`, { signal });
            if (statusCode !== 200) {
                return err([
                    new Failure(
                        "argumentInvalid",
                        `the host responded with status ${statusCode}: ${await body.text()}`,
                    ),
                ]);
            }
            const response = responseSchema.parse(await body.json());
            const text = [...response.hosts, `valid for ${response.lifetimeSeconds} s`].join("\n");
            return ok({ text, json: response });
        }
        catch (cause) {
            return err([new Failure("peerUnreachable", `${host.value} did not respond to the lookup`, { cause })]);
        }
    },
};
