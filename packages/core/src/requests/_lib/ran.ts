import type { Ran } from '@endivegate/contracts';
import type { AttemptEnd } from '../../events/index.ts';

/** How an attempt ended, as far as it tells whether the target ran it. */
export interface AttemptEvidence {
  readonly end: AttemptEnd;
  /** Whether any byte of the request left this process. */
  readonly sent: boolean;
  readonly outputTokens: number;
}

/**
 * Tells whether a target ran an attempt.
 *
 * @param evidence - How the attempt ended.
 * @returns `no` only when nothing was sent or the target refused to start.
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

const certainty: Readonly<Record<Ran, number>> = { no: 0, unknown: 1, yes: 2 };

/**
 * Combines what two attempts of one request tell.
 *
 * @param a - Of one attempt.
 * @param b - Of another attempt.
 * @returns `yes` when either ran, `no` only when neither did.
 */
export function combineRan(a: Ran, b: Ran): Ran {
  return certainty[a] >= certainty[b] ? a : b;
}
