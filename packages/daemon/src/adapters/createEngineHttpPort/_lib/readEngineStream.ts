import {
  engineStreamLineSchema,
  type EngineStream,
  type EngineStreamItem,
  type EngineStreamLine,
  type TargetError,
} from '@endivegate/contracts';
import { toTargetError } from '../../_lib/classifyError.ts';
import { readLines } from '../../_lib/readLines.ts';
import { parseJson } from '../../_lib/targetAnswer.ts';

/** Options of {@link readEngineStream}. */
export interface ReadEngineStreamOptions {
  readonly attemptId: string;
  readonly fromOffset: number;
}

/**
 * Reads and validates the response stream of an engine.
 *
 * The result has tokens of the given attempt only, each once and in order, and
 * ends with one `end` or `error` item.
 *
 * @param body - Response body.
 * @param options - Id of the attempt, and the offset that the stream starts at.
 * @returns The validated stream.
 */
export async function* readEngineStream(
  body: AsyncIterable<Uint8Array>,
  options: ReadEngineStreamOptions,
): AsyncGenerator<EngineStreamItem> {
  let nextOffset = options.fromOffset;
  try {
    for await (const text of readLines(body)) {
      const line = engineStreamLineSchema.safeParse(parseJson(text)).data;
      const error = findError(line, { ...options, nextOffset });
      if (error) {
        yield { type: 'error', error };
        return;
      }
      if (!line || line.type === 'failed') return;
      if (line.type === 'end') {
        const { finishReason, outputTokens } = line;
        yield { type: 'end', finishReason, outputTokens };
        return;
      }
      if (line.offset < nextOffset) continue;
      nextOffset += 1;
      yield { type: 'token', offset: line.offset, text: line.text };
    }
    yield { type: 'error', error: cut('no end mark') };
  } catch (error) {
    yield { type: 'error', error: toStreamError(error) };
  }
}

/** Checks at compile time that the result is the port's stream type. */
readEngineStream satisfies (
  body: AsyncIterable<Uint8Array>,
  options: ReadEngineStreamOptions,
) => EngineStream;

function findError(
  line: EngineStreamLine | undefined,
  expected: { readonly attemptId: string; readonly nextOffset: number },
): TargetError | undefined {
  if (!line) return cut('malformed item');
  if (line.attemptId !== expected.attemptId) {
    return { type: 'crossed', attemptId: line.attemptId };
  }
  switch (line.type) {
    case 'failed':
      return { type: 'failed', reason: line.reason };
    case 'end':
      return line.outputTokens === expected.nextOffset
        ? undefined
        : cut('tokens missing before the end mark');
    case 'token':
      return line.offset > expected.nextOffset
        ? cut('tokens missing')
        : undefined;
  }
}

/** Once a stream has started, the request was sent, whatever the error says. */
function toStreamError(error: unknown): TargetError {
  const found = toTargetError(error);
  return found.type === 'notSent' ? cut(found.reason) : found;
}

function cut(reason: string): TargetError {
  return { type: 'cut', reason };
}
