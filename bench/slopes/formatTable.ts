/** Formats a Markdown table. */
export function formatTable(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const line = (cells: readonly string[]) => `| ${cells.join(' | ')} |`;
  return [line(head), line(head.map(() => '---')), ...rows.map(line)].join(
    '\n',
  );
}

/**
 * Formats a number with at most three decimals; `null` and `NaN` become "not
 * reached".
 */
export function formatNumber(value: number | null): string {
  if (value === null || Number.isNaN(value)) return 'not reached';
  const digits = Math.abs(value) >= 100 ? 0 : 3;
  return Number(value.toFixed(digits)).toLocaleString('en-GB', {
    maximumFractionDigits: 3,
  });
}
