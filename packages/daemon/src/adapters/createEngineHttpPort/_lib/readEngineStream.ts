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
 * Reads an engine's answer stream and checks every item of it.
 *
 * The stream gives tokens of its own attempt only, in order and each once,
 * and ends with one `end` or `error` item.
 *
 * @param body - Bytes of the answer.
 * @param options - The attempt, and the offset it continues from.
 * @returns The checked stream.
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

/** Makes sure that the type is the port's. */
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

/** A stream that has begun was sent, whatever breaks it. */
function toStreamError(error: unknown): TargetError {
  const found = toTargetError(error);
  return found.type === 'notSent' ? cut(found.reason) : found;
}

function cut(reason: string): TargetError {
  return { type: 'cut', reason };
}
