/** Maximum length of an incomplete line, in characters. */
const MAX_LINE_LENGTH = 1024 * 1024;

/**
 * Splits a stream of bytes into lines.
 *
 * @param chunks - Chunks of UTF-8 text.
 * @returns Complete lines; text after the last line feed is dropped.
 * @throws RangeError when an incomplete line exceeds the limit.
 */
export async function* readLines(
  chunks: AsyncIterable<Uint8Array>,
): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const chunk of chunks) {
    const text = decoder.decode(chunk, { stream: true });
    // Only new text is searched: an incomplete line may come byte by byte.
    const [first = '', ...others] = text.split('\n');
    const last = others.pop();
    rest += first;
    if (last !== undefined) {
      yield rest;
      yield* others;
      rest = last;
    }
    if (rest.length > MAX_LINE_LENGTH) throw new RangeError('line too long');
  }
}
