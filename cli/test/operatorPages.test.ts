import { parseSettings } from "@pistachioreel/config";
import { Fleet } from "@pistachioreel/testing";
import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join, resolve } from "node:path";
import { after, before, test } from "node:test";
import { promisify } from "node:util";

const PAGES = "docs/operators";
const LOCATION = { availabilityZone: "tbilisi-a", region: "tbilisi" };
let fleet: Fleet;

before(async () => {
    const regions = ["tbilisi", "kutaisi", "batumi"];
    const services = ["schedule", "signature", "documents"];
    fleet = await Fleet.start({
        hosts: [LOCATION],
        targets: network =>
            services.map((service, index) => {
                const region = regions[index] as string;
                const address = network.address(2, index);
                return { address, port: 8080, availabilityZone: `${region}-a`, region, service, slots: 4 };
            }),
        rules: readFileSync("examples/sakartvelo/rules.jsonc", "utf8"),
    });
    writeFileSync(
        join(fleet.directory, "pistachioreel"),
        `#!/bin/sh\nexec ${process.execPath} ${resolve("dist/pistachioreel.cjs")} "$@"\n`,
        {
            mode: 0o755,
        },
    );
});

after(() => fleet?.stop());

for (const page of readdirSync(PAGES)) {
    test(`the commands of ${page} run`, async () => {
        const text = readFileSync(join(PAGES, page), "utf8");
        const blocks = [...text.matchAll(/```sh\n([^]*?)```/g)].map(match => match[1] as string);
        for (const command of blocks.join("").split("\n").filter(line => line !== "")) {
            const env = {
                ...process.env,
                PATH: `${fleet.directory}:${process.env["PATH"]}`,
                ...fleet.operatorEnvironment,
            };
            // Rejects if the command fails.
            await promisify(execFile)("sh", ["-c", command], { cwd: fleet.directory, env });
        }
    });
}

test("the example settings are accepted", () => {
    for (const deployment of ["sakartvelo", "swanbourne"]) {
        const file = `examples/${deployment}/host-1.jsonc`;
        assert.ok(parseSettings(file, readFileSync(file, "utf8")).isOk(), file);
    }
});

test("an invalid setting is refused with its file, position and value", () => {
    const text = readFileSync("examples/sakartvelo/host-1.jsonc", "utf8").replace("7001", "70010");
    const [failure] = parseSettings("host-1.jsonc", text)._unsafeUnwrapErr();
    assert.match(failure?.message ?? "", /host-1\.jsonc:7:\d+: callers\.port: found 70010/);
});
