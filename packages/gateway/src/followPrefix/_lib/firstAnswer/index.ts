import * as E from 'fp-ts/lib/Either.js';
import type { StoreError } from '../../../storePort/index.ts';

/** Options of {@link firstAnswer}. */
export interface FirstAnswerOptions {
  /** Time from the start of a call to that of the next one. */
  readonly intervalMs: number;
  readonly sleep: (ms: number) => Promise<void>;
  readonly isStopped: () => boolean;
  /** Time without any answer after which `onOverdue` is called. */
  readonly overdueMs: number;
  readonly onOverdue: () => void;
  /** Called when a call was not answered. */
  readonly onUnanswered: (error: StoreError) => void;
}

/**
 * Repeats a call until the store answers it, without waiting for the calls before to time
 * out: after a cut they wait on connections that stay silent.
 *
 * @param call - Makes the call on a connection of its own.
 * @param options - Interval, clock and callbacks.
 * @returns The first result, or the first refusal; undefined if it was stopped before.
 *
 * @example
 * await firstAnswer(store.list('targets/'), { intervalMs: 250, ...rest });
 */
export function firstAnswer<T>(
  call: () => Promise<E.Either<StoreError, T>>,
  options: FirstAnswerOptions,
): Promise<E.Either<StoreError, T> | undefined> {
  const { intervalMs, sleep, isStopped, onUnanswered } = options;
  return new Promise((resolve, reject) => {
    let isDone = false;
    const end = (result: E.Either<StoreError, T> | undefined): void => {
      isDone = true;
      resolve(result);
    };
    const fail = (error: unknown): void => {
      isDone = true;
      reject(error instanceof Error ? error : new Error(String(error)));
    };
    const attempt = async (): Promise<void> => {
      const result = await call();
      if (isDone) return;
      if (isStopped()) end(undefined);
      else if (E.isRight(result) || result.left.type !== 'unanswered') {
        end(result);
      } else onUnanswered(result.left);
    };
    const repeat = async (): Promise<void> => {
      while (!isDone) {
        attempt().catch(fail);
        await sleep(intervalMs);
        if (isStopped()) end(undefined);
      }
    };
    const watchOverdue = async (): Promise<void> => {
      await sleep(options.overdueMs);
      if (!isDone && !isStopped()) options.onOverdue();
    };
    repeat().catch(fail);
    watchOverdue().catch(fail);
  });
}
