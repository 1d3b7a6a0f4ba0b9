import { Configuration, parseBlockMap } from "@pistachioreel/config";
import { BlockMapRepository, DocumentRepository } from "@pistachioreel/documents";
import { type EncodedPart, encodePart, partitionBlocks } from "@pistachioreel/lookup";
import type { HttpObjectStore } from "@pistachioreel/platform-store";
import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import type { Command, CommandInput, CommandOutput } from "../command.js";
import { openStore } from "../openStore.js";
import { readTextFile } from "../readTextFile.js";
import { requireFlag } from "../requireFlag.js";

/** Commits a block map, which maps the addresses of clients to sites, after a check against the rules in force. */
export const blocks: Command = {
    name: "blocks",
    summary: "put a map of client blocks in force on all hosts",
    flags: ["map", "store"],
    usage: `--map FILE --store URL

The file is CSV with the columns block (CIDR) and site. Sites are those of the
rules in force. Only parts of the map that changed are written.

Example: pistachioreel blocks --map blocks.csv --store http://10.0.0.1:7000`,
    async run(input) {
        const store = openStore(input);
        if (store.isErr()) {
            return err([store.error]);
        }
        const parts = await encodeBlockMap(input, store.value);
        const output = parts.isErr() ? err(parts.error) : await commitParts(store.value, parts.value);
        await store.value.close();
        return output;
    },
};

async function encodeBlockMap(input: CommandInput, store: HttpObjectStore): Promise<Result<EncodedPart[], Failure[]>> {
    const path = requireFlag(input, "map");
    if (path.isErr()) {
        return err([path.error]);
    }
    const text = await readTextFile(path.value);
    const sites = await readSites(store);
    if (text.isErr() || sites.isErr()) {
        return err([text, sites].flatMap(result => result.isErr() ? [result.error] : []));
    }
    return parseBlockMap(path.value, text.value, { sites: sites.value }).map(({ ipv4, ipv6 }) =>
        [ipv4, ipv6].flatMap(list => partitionBlocks(list)).map(group => encodePart(group))
    );
}

async function readSites(store: HttpObjectStore): Promise<Result<string[], Failure>> {
    const document = await new DocumentRepository(store).read("config");
    return document
        .andThen(found => found === undefined ? err(new Failure("notReady")) : Configuration.fromContent(found.content))
        .map(configuration => Object.keys(configuration.rules.sites));
}

async function commitParts(store: HttpObjectStore, parts: EncodedPart[]): Promise<Result<CommandOutput, Failure[]>> {
    const committed = await new BlockMapRepository(store).commit(parts, randomUUID());
    return committed
        .mapErr(failure => [failure])
        .andThen(({ version, writtenParts, writtenBytes }) =>
            ok({
                text: `accepted: version ${version}, ${writtenParts} of ${parts.length} parts written`,
                json: { version, parts: parts.length, writtenParts, writtenBytes },
            })
        );
}
