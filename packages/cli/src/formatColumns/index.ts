/**
 * Formats records as text in aligned columns.
 *
 * @param records - Records with the same fields.
 * @param columns - Names of the columns, in order.
 * @returns A header line and one line for each record.
 *
 * @example
 * formatColumns([{ a: 1, b: 'x' }], ['a', 'b']);
 */
export function formatColumns(
  records: readonly Readonly<Record<string, unknown>>[],
  columns: readonly string[],
): string {
  const lines = [
    columns,
    ...records.map((record) => columns.map((name) => formatCell(record[name]))),
  ];
  const widths = columns.map((_, index) =>
    Math.max(...lines.map((line) => line[index]?.length ?? 0)),
  );
  return lines
    .map((line) =>
      line
        .map((cell, index) => cell.padEnd(widths[index] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .map((line) => `${line}\n`)
    .join('');
}

/**
 * Formats a value for a line of text.
 *
 * @param value - Any JSON value.
 * @returns `-` for an absent value, a string without quotes, a list joined with
 *   `;`, or JSON for any other value.
 */
export function formatCell(value: unknown): string {
  if (value === undefined || value === null) return '-';
  if (typeof value === 'string') return value;
  if (Array.isArray(value)) return value.map(formatCell).join(';') || '-';
  return JSON.stringify(value);
}
