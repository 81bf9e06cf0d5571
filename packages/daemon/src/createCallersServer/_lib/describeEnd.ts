import type { RefusalReason, RequestEnd } from '@endivegate/core';

/** Error response for a request that ended without an answer. */
export interface EndDescription {
  readonly status: number;
  /** Error type in the OpenAI format. */
  readonly type: string;
  readonly code: string;
  readonly message: string;
  readonly retryAfterMs: number | undefined;
}

type RefusalDescription = Omit<EndDescription, 'retryAfterMs'>;

const REFUSAL_DESCRIPTIONS: Readonly<
  Record<RefusalReason, RefusalDescription>
> = {
  limited: {
    status: 429,
    type: 'rate_limit_error',
    code: 'limited',
    message: 'A limit of this workspace, service and kind is used up.',
  },
  queueFull: {
    status: 429,
    type: 'rate_limit_error',
    code: 'queue_full',
    message: 'The queue of this workspace, service and kind is full.',
  },
  tooLate: {
    status: 503,
    type: 'overloaded_error',
    code: 'too_late',
    message: 'The request could not be finished before its deadline.',
  },
  deadline: {
    status: 504,
    type: 'timeout_error',
    code: 'deadline',
    message: 'The deadline passed before the request was sent.',
  },
  noTarget: {
    status: 503,
    type: 'overloaded_error',
    code: 'no_target',
    message: 'No target serves this model or service now.',
  },
  targetsRefused: {
    status: 503,
    type: 'overloaded_error',
    code: 'targets_refused',
    message: 'Every target that could be tried refused the request.',
  },
  suspect: {
    status: 422,
    type: 'invalid_request_error',
    code: 'suspect_request',
    message: 'Targets crashed while running this request; it is refused.',
  },
  leaving: {
    status: 503,
    type: 'overloaded_error',
    code: 'entry_leaving',
    message: 'This entry is leaving; ask for entries and use another.',
  },
  storeDown: {
    status: 503,
    type: 'overloaded_error',
    code: 'store_down',
    message: 'The call needs a claim and the store cannot be reached.',
  },
  keyReused: {
    status: 422,
    type: 'invalid_request_error',
    code: 'idempotency_key_reused',
    message: 'The idempotency key was used with another body.',
  },
  keyExpired: {
    status: 422,
    type: 'invalid_request_error',
    code: 'key_expired',
    message: 'The idempotency key is older than outcomes are kept.',
  },
  callerGone: {
    status: 499,
    type: 'invalid_request_error',
    code: 'caller_gone',
    message: 'The caller closed the connection.',
  },
};

/**
 * Describes to the caller why a request ended without an answer.
 *
 * @param end - How the request ended.
 * @returns Status, error type, code, message and retry delay.
 */
export function describeEnd(
  end: Exclude<RequestEnd, { readonly type: 'answered' }>,
): EndDescription {
  switch (end.type) {
    case 'refused':
      return {
        ...REFUSAL_DESCRIPTIONS[end.reason],
        retryAfterMs: end.retryAfterMs,
      };
    case 'timedOut':
      return describeFailure(504, 'timed_out', 'The deadline passed.');
    case 'failed':
      return describeFailure(502, 'target_failed', end.reason);
    case 'inDoubt':
      return describeFailure(
        502,
        'in_doubt',
        'Whether the call ran is not settled; ask again with the same key.',
      );
  }
}

function describeFailure(
  status: number,
  code: string,
  message: string,
): EndDescription {
  return {
    status,
    type: status === 504 ? 'timeout_error' : 'api_error',
    code,
    message,
    retryAfterMs: undefined,
  };
}
