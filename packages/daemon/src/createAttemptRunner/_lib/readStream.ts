import type { EngineStream, EngineStreamItem } from '@endivegate/contracts';
import type { AttemptEnd } from '@endivegate/core';
import type { OpenRequest } from '../../createOpenRequests/index.ts';
import type { SilenceWatch } from './watchSilence.ts';

/** Result of reading a stream. */
export type StreamOutcome = AttemptEnd;

/**
 * Why a token was dropped: its offset was received before (`repeated`), or
 * tokens before it are missing (`gap`).
 */
export type DropReason = 'repeated' | 'gap';

/** Options of {@link readStream}. */
export interface ReadStreamOptions {
  readonly stream: EngineStream;
  readonly openRequest: OpenRequest;
  readonly signal: AbortSignal;
  readonly silence: SilenceWatch;
  readonly onFirstToken: () => void;
  readonly onDropped: (reason: DropReason) => void;
}

/**
 * Forwards a stream's tokens to the caller, each exactly once and in order.
 *
 * A token whose offset the caller has already received is dropped. A token with
 * a later offset than expected means that tokens were lost; reading stops and
 * the result is `cut`. While the caller's connection applies backpressure, no
 * item is read and the silence watch is idle.
 *
 * @param options - The stream and the request that it answers.
 * @returns How the stream ended; `cut` if the end marker was missing.
 */
export async function readStream(
  options: ReadStreamOptions,
): Promise<StreamOutcome> {
  const iterator = options.stream[Symbol.asyncIterator]();
  try {
    for (;;) {
      const item = await readNextItem(iterator, options.silence);
      if (options.signal.aborted) return { type: 'cancelled' };
      if (item === undefined) {
        return { type: 'cut', reason: 'stream ended without its end mark' };
      }
      const outcome = await handleItem(item, options);
      if (outcome !== undefined) return outcome;
    }
  } catch (error) {
    if (options.signal.aborted) return { type: 'cancelled' };
    return { type: 'cut', reason: String(error) };
  } finally {
    void iterator.return?.().catch(ignoreCloseError);
  }
}

async function handleItem(
  item: EngineStreamItem,
  options: ReadStreamOptions,
): Promise<StreamOutcome | undefined> {
  const { openRequest } = options;
  switch (item.type) {
    case 'error':
      return item.error;
    case 'end':
      if (item.outputTokens !== openRequest.outputTokens) {
        return {
          type: 'cut',
          reason: 'end mark names another token count',
        };
      }
      openRequest.finishReason = item.finishReason;
      return { type: 'done' };
    case 'token':
      return handleToken(item, options);
  }
}

async function handleToken(
  item: Extract<EngineStreamItem, { readonly type: 'token' }>,
  options: ReadStreamOptions,
): Promise<StreamOutcome | undefined> {
  const { openRequest } = options;
  if (item.offset < openRequest.outputTokens) {
    options.onDropped('repeated');
    return undefined;
  }
  if (item.offset > openRequest.outputTokens) {
    options.onDropped('gap');
    return { type: 'cut', reason: 'tokens are missing from the stream' };
  }
  openRequest.outputTokens += 1;
  if (openRequest.outputTokens === 1) options.onFirstToken();
  await openRequest.sink.writeToken(item.text);
  return undefined;
}

async function readNextItem(
  iterator: AsyncIterator<EngineStreamItem>,
  silence: SilenceWatch,
): Promise<EngineStreamItem | undefined> {
  silence.waiting();
  const next = await iterator.next();
  silence.idle();
  return next.done === true ? undefined : next.value;
}

function ignoreCloseError(): void {
  // The result of the stream is known; an error on closing it has no effect.
}
