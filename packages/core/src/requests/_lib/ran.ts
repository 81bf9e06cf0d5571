import type { Ran } from '@endivegate/contracts';
import type { AttemptEnd } from '../../events/index.ts';

/**
 * What is known about an attempt's end that shows whether the target ran it.
 */
export interface AttemptEvidence {
  readonly end: AttemptEnd;
  /** Whether any byte of the request left this process. */
  readonly sent: boolean;
  readonly outputTokens: number;
}

/**
 * Determines whether a target ran an attempt.
 *
 * @param evidence - How the attempt ended.
 * @returns `no` only if nothing was sent or the target refused the request.
 *
 * @example
 * ranOfAttempt({ end: { type: 'timedOut' }, sent: true, outputTokens: 0 }); // 'unknown'
 */
export function ranOfAttempt(evidence: AttemptEvidence): Ran {
  if (evidence.outputTokens > 0) return 'yes';
  switch (evidence.end.type) {
    case 'done':
    case 'failed':
      return 'yes';
    case 'refused':
      return 'no';
    case 'notSent':
    case 'cancelled':
    case 'cut':
    case 'timedOut':
    case 'crossed':
      return evidence.sent ? 'unknown' : 'no';
  }
}

const CERTAINTY: Readonly<Record<Ran, number>> = { no: 0, unknown: 1, yes: 2 };

/**
 * Combines the results of two attempts of the same request.
 *
 * @param a - Whether the first attempt ran.
 * @param b - Whether the second attempt ran.
 * @returns `yes` if either ran, `no` only if neither did, else `unknown`.
 */
export function combineRan(a: Ran, b: Ran): Ran {
  return CERTAINTY[a] >= CERTAINTY[b] ? a : b;
}
