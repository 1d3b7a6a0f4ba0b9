import type { ConfigurationChange } from "@pistachioreel/config";

/** Renders one line per change: `+` added, `-` removed, `~` changed. */
export function renderChanges(changes: readonly ConfigurationChange[]): string {
    return changes.map(renderChange).join("\n");
}

function renderChange({ kind, field, before, after }: ConfigurationChange): string {
    switch (kind) {
        case "added":
            return `+ ${field}: ${after}`;
        case "removed":
            return `- ${field}: ${before}`;
        case "changed":
            return `~ ${field}: ${before} -> ${after}`;
    }
}
