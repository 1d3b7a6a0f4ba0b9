const COLUMN_GAP = "  ";

/** Renders rows as left-aligned columns, two spaces apart. Rows may have fewer cells than others. */
export function renderTable(rows: readonly (readonly string[])[]): string {
    const columns = Math.max(...rows.map(row => row.length));
    const widths = Array.from({ length: columns }, (_, i) => Math.max(...rows.map(row => (row[i] ?? "").length)));
    return rows.map(row => row.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join(COLUMN_GAP).trimEnd()).join("\n");
}
