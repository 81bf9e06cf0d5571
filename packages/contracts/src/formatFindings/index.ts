import type { Finding } from '../parseJsonc/index.ts';

/**
 * Formats findings for a terminal, one per line.
 *
 * @param findings - Findings in the order to print.
 * @returns Lines of the form `file:line:column: path: message`.
 *
 * @example
 * formatFindings(findings); // 'entry.jsonc:3:5: http.port: expected number'
 */
export function formatFindings(findings: readonly Finding[]): string {
  return findings.map(formatFinding).join('\n');
}

function formatFinding(finding: Finding): string {
  const position = `${finding.file}:${finding.line}:${finding.column}`;
  const path = finding.path === '' ? '' : `${finding.path}: `;
  return `${position}: ${path}${finding.message}`;
}
