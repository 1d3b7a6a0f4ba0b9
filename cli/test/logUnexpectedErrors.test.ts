import { Logger } from "@pistachioreel/logging";
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { EventEmitter } from "node:events";
import { it } from "node:test";
import { pathToFileURL } from "node:url";
import { logUnexpectedErrors } from "../src/logUnexpectedErrors.js";

it("logs an error that nothing has caught", () => {
    const lines: string[] = [];
    const emitter = new EventEmitter() as unknown as NodeJS.Process;
    logUnexpectedErrors(new Logger("unexpected-test", { write: line => lines.push(line) }), emitter);
    emitter.emit("uncaughtException", new TypeError("first"));
    emitter.emit("unhandledRejection" as never, new TypeError("second"));
    assert.match(lines[0] ?? "", /event=unexpected-error .*TypeError: first/);
    assert.match(lines[1] ?? "", /event=unexpected-error .*TypeError: second/);
});

it("keeps a process running after an error in one of its tasks, which would end it", () => {
    const [logging, own] = ["../../logging/src/index.ts", "../src/logUnexpectedErrors.ts"]
        .map(path => pathToFileURL(new URL(path, import.meta.url).pathname).href);
    const program = `
        const { Logger } = await import(${JSON.stringify(logging)});
        const { logUnexpectedErrors } = await import(${JSON.stringify(own)});
        logUnexpectedErrors(new Logger("child", { write: line => console.log(line) }));
        setTimeout(() => { throw new TypeError("of a task"); }, 1);
        void Promise.reject(new TypeError("of a promise"));
        setTimeout(() => console.log("still running"), 50);`;
    const { status, stdout } = spawnSync(
        process.execPath,
        ["--import", "tsx", "--input-type=module", "--eval", program],
        { encoding: "utf8" },
    );
    assert.equal(status, 0);
    assert.match(stdout, /of a task/);
    assert.match(stdout, /of a promise/);
    assert.match(stdout, /still running/);
});
