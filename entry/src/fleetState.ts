import { Configuration } from "@pistachioreel/config";
import { type DocumentName, DocumentReplica, type FleetDocument } from "@pistachioreel/documents";
import { KeyRegistry, KeyVerifier } from "@pistachioreel/keys";
import type { BlockTable } from "@pistachioreel/lookup";
import { Roster } from "@pistachioreel/membership";
import type { ListedHost } from "@pistachioreel/platform-store";
import type { Failure } from "@pistachioreel/result-code";
import { ok, type Result } from "neverthrow";

type ChangeListener = (name: DocumentName) => void;

/** The fleet's documents in the versions that this host has in force. */
export class FleetState {
    /** Hosts of the platform's list, which may be out of date. */
    hosts: readonly ListedHost[] = [];
    /** Client blocks in force; `undefined` until a block map has been loaded. */
    blockTable: BlockTable | undefined;
    private readonly replica = new DocumentReplica();
    private readonly listeners: ChangeListener[] = [];
    private currentConfiguration: Configuration | undefined;
    private currentRoster: Roster | undefined;
    private currentVerifier = new KeyVerifier(new KeyRegistry());

    /** The configuration in force; `undefined` if there is none yet. */
    get configuration(): Configuration | undefined {
        return this.currentConfiguration;
    }

    /** The newest roster; `undefined` if there is none yet. */
    get roster(): Roster | undefined {
        return this.currentRoster;
    }

    /** Version of each document in force; 0 if there is none. */
    get versions(): Record<DocumentName, number> {
        const version = (name: DocumentName) => this.versionOf(name);
        return {
            config: version("config"),
            keys: version("keys"),
            plan: version("plan"),
            roster: version("roster"),
            blocks: version("blocks"),
        };
    }

    /** Verifier for the key registry in force; rejects every key until there is one. */
    get keyVerifier(): KeyVerifier {
        return this.currentVerifier;
    }

    /** Version of the document in force; 0 if there is none. */
    versionOf(name: DocumentName): number {
        return this.replica.versionOf(name);
    }

    /** The document in force; `undefined` if there is none yet. */
    documentOf(name: DocumentName): FleetDocument | undefined {
        return this.replica.get(name);
    }

    /** Adds a listener that is called with the name of each document after a new version is in force. */
    onChange(listener: ChangeListener): void {
        this.listeners.push(listener);
    }

    /**
     * Puts a document in force if it is newer than the current version.
     * @returns Whether it was newer. Failure: the content is invalid; the current version stays in force.
     */
    applyIfNewer(document: FleetDocument): Result<boolean, Failure> {
        const prepared = this.prepare(document);
        return prepared.map(apply => {
            if (!this.replica.applyIfNewer(document)) {
                return false;
            }
            apply();
            this.listeners.forEach(listener => listener(document.name));
            return true;
        });
    }

    /** Parses the document; returns a function that puts the parsed content in force. */
    private prepare(document: FleetDocument): Result<() => void, Failure> {
        switch (document.name) {
            case "config":
                return Configuration.fromContent(document.content).map(configuration => () => {
                    this.currentConfiguration = configuration;
                });
            case "keys":
                return KeyRegistry.fromContent(document.content).map(registry => () => {
                    this.currentVerifier = new KeyVerifier(registry);
                });
            case "roster":
                return Roster.fromContent(document.content).map(roster => () => {
                    this.currentRoster = roster;
                });
            default:
                return ok(() => {});
        }
    }
}
