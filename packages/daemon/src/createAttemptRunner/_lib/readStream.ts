import type { EngineStream, EngineStreamItem } from '@endivegate/contracts';
import type { AttemptEnd } from '@endivegate/core';
import type { OpenRequest } from '../../createOpenRequests/index.ts';
import type { SilenceWatch } from './watchSilence.ts';

/** How reading a stream ended. */
export type StreamOutcome = AttemptEnd;

/** Why an item of an answer was dropped. */
export type DropReason = 'repeated' | 'gap';

/** Options of {@link readStream}. */
export interface ReadStreamOptions {
  readonly stream: EngineStream;
  readonly open: OpenRequest;
  readonly signal: AbortSignal;
  readonly silence: SilenceWatch;
  readonly onFirstToken: () => void;
  readonly onDropped: (reason: DropReason) => void;
}

/**
 * Hands a stream's tokens on to the caller, each once and in order.
 *
 * A token below the offset that the caller has is dropped; one beyond it means
 * that something was lost, and ends the reading as cut. While the caller's
 * connection is full, no item is read and the silence watch is idle.
 *
 * @param options - The stream and the request that it answers.
 * @returns How the stream ended; `cut` when it had no end mark.
 */
export async function readStream(
  options: ReadStreamOptions,
): Promise<StreamOutcome> {
  const iterator = options.stream[Symbol.asyncIterator]();
  try {
    for (;;) {
      const item = await nextItem(iterator, options.silence);
      if (options.signal.aborted) return { type: 'cancelled' };
      if (item === undefined) {
        return { type: 'cut', reason: 'stream ended without its end mark' };
      }
      const outcome = await takeItem(item, options);
      if (outcome !== undefined) return outcome;
    }
  } catch (error) {
    if (options.signal.aborted) return { type: 'cancelled' };
    return { type: 'cut', reason: String(error) };
  } finally {
    void iterator.return?.().catch(ignore);
  }
}

async function takeItem(
  item: EngineStreamItem,
  options: ReadStreamOptions,
): Promise<StreamOutcome | undefined> {
  const { open } = options;
  switch (item.type) {
    case 'error':
      return item.error;
    case 'end':
      if (item.outputTokens !== open.outputTokens) {
        return { type: 'cut', reason: 'end mark names another token count' };
      }
      open.finishReason = item.finishReason;
      return { type: 'done' };
    case 'token':
      return takeToken(item, options);
  }
}

async function takeToken(
  item: Extract<EngineStreamItem, { readonly type: 'token' }>,
  options: ReadStreamOptions,
): Promise<StreamOutcome | undefined> {
  const { open } = options;
  if (item.offset < open.outputTokens) {
    options.onDropped('repeated');
    return undefined;
  }
  if (item.offset > open.outputTokens) {
    options.onDropped('gap');
    return { type: 'cut', reason: 'tokens are missing from the stream' };
  }
  open.outputTokens += 1;
  if (open.outputTokens === 1) options.onFirstToken();
  await open.sink.writeToken(item.text);
  return undefined;
}

async function nextItem(
  iterator: AsyncIterator<EngineStreamItem>,
  silence: SilenceWatch,
): Promise<EngineStreamItem | undefined> {
  silence.waiting();
  const next = await iterator.next();
  silence.idle();
  return next.done === true ? undefined : next.value;
}

function ignore(): void {
  // The stream is over; a failure to close it changes nothing.
}
