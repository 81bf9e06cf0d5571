import type { EngineSubmission } from '@endivegate/contracts';

/** A submission to the model, with the prompt's length instead of its text. */
export type ModelSubmission = Omit<EngineSubmission, 'prompt' | 'model'> & {
  /** Tokens the model will generate; at most `maxOutputTokens`. */
  readonly outputTokens?: number;
};

/** A submission in the queue or in the batch, with its progress. */
export interface Sequence {
  readonly submission: ModelSubmission;
  readonly submissionIndex: number;
  readonly deadlineAtMs: number;
  readonly plannedOutputTokens: number;
  /** KV memory allocated outside reservations; 0 when it runs in one. */
  readonly kvTokens: number;
  /** Tokens still to be loaded from an imported KV cache. */
  importedTokens: number;
  prefilledTokens: number;
  emittedTokens: number;
}

/**
 * Compares sequences by priority, highest first, then by age, oldest first.
 *
 * @param a - A sequence.
 * @param b - Another sequence.
 * @returns Negative when `a` goes first.
 */
export function compareUrgency(a: Sequence, b: Sequence): number {
  return (
    b.submission.priority - a.submission.priority ||
    a.submissionIndex - b.submissionIndex
  );
}

/**
 * Checks whether the whole prompt of a sequence is in the KV cache.
 *
 * @param sequence - A sequence in the batch.
 * @returns Whether the sequence is past prefill and generates tokens.
 */
export function isPrefilled(sequence: Sequence): boolean {
  return sequence.prefilledTokens >= sequence.submission.promptTokens;
}
