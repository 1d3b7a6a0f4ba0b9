import type { MergedTimeline } from "./mergeTimelines.js";
import type { TimelineEvent } from "./timelineEvent.js";

const STYLE = `
body { font: 14px/1.4 system-ui, sans-serif; margin: 1.5rem; color: #222; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: 2px 12px 2px 0; vertical-align: top; border-bottom: 1px solid #e4e4e4; }
td.time { white-space: nowrap; font-variant-numeric: tabular-nums; }
tr.refused td { background: #fdecea; }
input { margin-bottom: 1rem; padding: 4px 8px; width: 24rem; }`;

/** Hides the rows that do not contain the text of the search field. */
const SCRIPT = `
const search = document.querySelector("input");
search.addEventListener("input", () => {
    for (const row of document.querySelectorAll("tbody tr")) {
        row.hidden = !row.textContent.includes(search.value);
    }
});`;

/** Renders all events as one HTML page with a search field. The page loads no other files. */
export function renderHtml({ events, skewMs }: MergedTimeline): string {
    const skew = [...skewMs].map(([host, ms]) => `${escapeHtml(host)} ${Math.round(ms)} ms`).join(", ");
    return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>Time line</title><style>${STYLE}</style></head>
<body>
<h1>Time line</h1>
<p>${events.length} events. Clock skew between hosts: ${skew || "none seen"}.</p>
<input type="search" placeholder="host, workspace, request or event" aria-label="Filter">
<table>
<thead><tr><th>Time</th><th>Host</th><th>Event</th><th>Workspace</th><th>Request</th><th>Details</th></tr></thead>
<tbody>
${events.map(renderRow).join("\n")}
</tbody>
</table>
<script>${SCRIPT}</script>
</body>
</html>
`;
}

function renderRow(event: TimelineEvent): string {
    const details = Object.entries(event.fields ?? {}).map(([name, value]) => `${name}=${value}`).join(" ");
    const cells = [event.host, event.event, event.workspace ?? "", event.request ?? "", details];
    const time = new Date(event.time).toISOString();
    const mark = event.event.endsWith("refused") ? ' class="refused"' : "";
    return `<tr${mark}><td class="time">${time}</td>${cells.map(cell => `<td>${escapeHtml(cell)}</td>`).join("")}</tr>`;
}

function escapeHtml(text: string): string {
    return text.replace(/[&<>"]/g, character => `&#${character.charCodeAt(0)};`);
}
