import type { Finding } from '../parseJsonc/index.ts';

/**
 * Formats findings for a terminal, one a line.
 *
 * @param findings - Findings in the order to print.
 * @returns Lines of `file:line:column: path: message`.
 *
 * @example
 * formatFindings(findings); // 'entry.jsonc:3:5: http.port: expected number'
 */
export function formatFindings(findings: readonly Finding[]): string {
  return findings.map(formatFinding).join('\n');
}

function formatFinding(finding: Finding): string {
  const place = `${finding.file}:${finding.line}:${finding.column}`;
  const path = finding.path === '' ? '' : `${finding.path}: `;
  return `${place}: ${path}${finding.message}`;
}
