import {
  headerNumber,
  headerText,
  type HttpDialect,
  readLimit,
  readRetryAfter,
  readSharedParts,
  readWarmUp,
} from '../httpDialect/index.ts';

/** HTTP dialect for tests, with header names that no deployment uses. */
export const testDialect: HttpDialect = {
  attemptIdHeader: 'x-request',
  deadlineHeader: 'x-deadline-ms',
  withheldHeaders: new Set(['authorization', 'x-deadline-ms', 'last-event-id']),
  readCaller: (headers) => ({
    attemptId: headerText(headers, 'x-request'),
    deadlineMs: headerNumber(headers, 'x-deadline-ms'),
    lastEventId: headerText(headers, 'last-event-id'),
    key: headers.authorization?.replace('Bearer ', ''),
    prompt:
      headerNumber(headers, 'x-prompt-tokens') === undefined
        ? undefined
        : {
            promptTokens: headerNumber(headers, 'x-prompt-tokens') ?? 0,
            maxOutputTokens: 100,
            hintedOutputTokens: undefined,
          },
    sharedParts: readSharedParts(headerText(headers, 'x-parts')),
  }),
  writeSend: (head) => [
    ['X-Deadline-Ms', String(head.deadlineMs)],
    ['X-Target', head.targetId],
    ...(head.lastEventId === undefined
      ? []
      : [['Last-Event-Id', head.lastEventId] as const]),
  ],
  readTarget: (status, headers) => ({
    attemptId: headerText(headers, 'x-request'),
    isSigned: headers['x-signed'] !== undefined,
    notExecuted: headers['x-not-run'] !== undefined,
    blamedAddress: undefined,
    isLeaving: headers['x-leaving'] !== undefined,
    pause:
      status === 503
        ? readRetryAfter(headers['retry-after'])
        : { type: 'none' },
    limit: readLimit(headerText(headers, 'x-limit')),
    warmUp: readWarmUp(headerText(headers, 'x-warm-up-ms')),
  }),
};
