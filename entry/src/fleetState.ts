import { Configuration } from "@pistachioreel/config";
import { type DocumentName, DocumentReplica, type FleetDocument } from "@pistachioreel/documents";
import { KeyLedger, KeyVerifier } from "@pistachioreel/keys";
import type { BlockTable } from "@pistachioreel/lookup";
import type { ListedHost } from "@pistachioreel/platform-store";
import type { Failure } from "@pistachioreel/result-code";
import { ok, type Result } from "neverthrow";

type ChangeListener = (name: DocumentName) => void;

/** The fleet's documents as this host has them in force. */
export class FleetState {
    /** Hosts of the platform's list, which lags behind. */
    hosts: readonly ListedHost[] = [];
    /** Client blocks in force; `undefined` until a map has been read. */
    blockTable: BlockTable | undefined;
    private readonly replica = new DocumentReplica();
    private readonly listeners: ChangeListener[] = [];
    private currentConfiguration: Configuration | undefined;
    private currentVerifier = new KeyVerifier(new KeyLedger());

    get configuration(): Configuration | undefined {
        return this.currentConfiguration;
    }

    get keyVerifier(): KeyVerifier {
        return this.currentVerifier;
    }

    versionOf(name: DocumentName): number {
        return this.replica.versionOf(name);
    }

    documentOf(name: DocumentName): FleetDocument | undefined {
        return this.replica.get(name);
    }

    onChange(listener: ChangeListener): void {
        this.listeners.push(listener);
    }

    /** Puts a document in force if it is newer than the one held; tells whether it did. */
    accept(document: FleetDocument): Result<boolean, Failure> {
        const prepared = this.prepare(document);
        return prepared.map(putInForce => {
            if (!this.replica.accept(document)) {
                return false;
            }
            putInForce();
            this.listeners.forEach(listener => listener(document.name));
            return true;
        });
    }

    private prepare(document: FleetDocument): Result<() => void, Failure> {
        switch (document.name) {
            case "config":
                return Configuration.fromContent(document.content).map(configuration => () => {
                    this.currentConfiguration = configuration;
                });
            case "keys":
                return KeyLedger.fromContent(document.content).map(ledger => () => {
                    this.currentVerifier = new KeyVerifier(ledger);
                });
            default:
                return ok(() => {});
        }
    }
}
