import type { IncomingHttpHeaders } from 'node:http';
import type { HttpDialect } from '../httpDialect/index.ts';

/** A dialect for tests: plain header names that no deployment uses. */
export const testDialect: HttpDialect = {
  attemptIdHeader: 'x-request',
  withheldHeaders: new Set(['authorization', 'x-deadline-ms', 'last-event-id']),
  readCaller: (headers) => ({
    attemptId: textOf(headers, 'x-request'),
    deadlineMs: numberOf(headers, 'x-deadline-ms'),
    lastEventId: textOf(headers, 'last-event-id'),
    key: headers.authorization?.replace('Bearer ', ''),
    prompt:
      numberOf(headers, 'x-prompt-tokens') === undefined
        ? undefined
        : {
            promptTokens: numberOf(headers, 'x-prompt-tokens') ?? 0,
            maxOutputTokens: 100,
            hintedOutputTokens: undefined,
          },
  }),
  writeSend: (head) => [
    ['X-Deadline-Ms', String(head.deadlineMs)],
    ['X-Target', head.targetId],
    ...(head.lastEventId === undefined
      ? []
      : [['Last-Event-Id', head.lastEventId] as const]),
  ],
  readTarget: (_status, headers) => ({
    attemptId: textOf(headers, 'x-request'),
    isSigned: headers['x-signed'] !== undefined,
    notExecuted: headers['x-not-run'] !== undefined,
    blamedAddress: undefined,
  }),
};

function textOf(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function numberOf(
  headers: IncomingHttpHeaders,
  name: string,
): number | undefined {
  const value = textOf(headers, name);
  return value === undefined ? undefined : Number(value);
}
