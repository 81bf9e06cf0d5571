import type { RepeatRule } from '@endivegate/contracts/forwarding';

/** How one send of a request to a target ended. */
export type SendEnd =
  /** No byte of the request left this process. */
  | { readonly type: 'notSent'; readonly reason: string }
  /** The target said that it did not run the request. */
  | { readonly type: 'refused'; readonly status: number }
  /** A whole answer, success or the target's own failure. */
  | { readonly type: 'answered'; readonly status: number }
  /** The connection broke, or what came was no whole answer to this request. */
  | { readonly type: 'broken'; readonly reason: string }
  /** Nothing came for longer than expected; the send was cut off. */
  | { readonly type: 'stalled' };

/** What is known of a request when a send has ended. */
export interface SendProgress {
  readonly repeat: RepeatRule;
  readonly resumable: boolean;
  /** Targets that bytes of the request were sent to. */
  readonly sends: number;
  /** Sends that ended before a byte left. */
  readonly unsent: number;
  readonly maxAttempts: number;
  /** Whether an earlier send may have run. */
  readonly mayHaveRun: boolean;
  /** Whether the caller has the head of an answer. */
  readonly answerBegun: boolean;
  readonly timeLeftMs: number;
  /** Whether the retry budget allows one more send. */
  readonly budgetLeft: boolean;
  /** Whether the request is known to crash targets. */
  readonly isCrasher: boolean;
}

/** What to do next with a request. */
export type NextStep =
  | { readonly type: 'deliver' }
  | { readonly type: 'sendAgain' }
  /** Refuse: it has not run and will not. */
  | { readonly type: 'refuse' }
  /** Fail without telling whether it ran. */
  | { readonly type: 'fail' }
  /** Cut off an answer that has begun. */
  | { readonly type: 'cutOff' };

/** Connections that are tried for one request. */
const MOST_UNSENT = 4;

/** Less time than this is not enough for another send. */
const LEAST_TIME_MS = 20;

const FIRST_SERVER_ERROR = 500;

/**
 * Decides what follows the end of a send.
 *
 * A request that may run once is sent again only when the target, or the lack
 * of any byte sent, proves that it has not run. A refusal is told to the caller
 * only under the same condition.
 *
 * @param end - How the send ended.
 * @param progress - What is known of the request, this send included.
 * @returns The next step.
 *
 * @example
 * decideNext({ type: 'refused', status: 503 }, progress);
 */
export function decideNext(end: SendEnd, progress: SendProgress): NextStep {
  if (end.type === 'answered' && !isWorthRepeating(end.status, progress)) {
    return { type: 'deliver' };
  }
  if (maySendAgain(end, progress)) return { type: 'sendAgain' };
  if (end.type === 'answered') return { type: 'deliver' };
  if (progress.answerBegun) return { type: 'cutOff' };
  return progress.mayHaveRun ? { type: 'fail' } : { type: 'refuse' };
}

/** Whether a run of the request may be followed by another one. */
function isRepeatable(progress: SendProgress): boolean {
  return (
    progress.repeat === 'idempotent' ||
    (progress.repeat === 'stream' && progress.resumable)
  );
}

function isWorthRepeating(status: number, progress: SendProgress): boolean {
  return status >= FIRST_SERVER_ERROR && isRepeatable(progress);
}

function maySendAgain(end: SendEnd, progress: SendProgress): boolean {
  if (progress.isCrasher) return false;
  if (progress.timeLeftMs < LEAST_TIME_MS) return false;
  if (end.type === 'notSent') {
    return (
      progress.unsent < MOST_UNSENT && progress.sends < progress.maxAttempts
    );
  }
  const provedNotRun = end.type === 'refused' && !progress.mayHaveRun;
  return (
    (provedNotRun || isRepeatable(progress)) &&
    progress.sends < progress.maxAttempts &&
    progress.budgetLeft
  );
}
