import { collectBytes } from '@endivegate/core/forwarding';

/**
 * Limit of a body whose size is not stated: plain answers and lists of several MB
 * are sound.
 */
export const MAX_BODY_BYTES = 32 * 1024 * 1024;

/** Code of the error of a body that exceeds its limit. */
const TOO_LARGE_CODE = 'RESPONSE_TOO_LARGE';

/**
 * Reads a response body of limited size.
 *
 * @param body - The body; destroyed with its connection above the limit.
 * @param maxBytes - Maximum size.
 * @returns The body.
 * @throws RangeError with a code when the limit is exceeded, or the error with
 * which the body breaks off.
 */
export async function readBody(
  body: AsyncIterable<Uint8Array>,
  maxBytes = MAX_BODY_BYTES,
): Promise<Uint8Array<ArrayBuffer>> {
  const collector = collectBytes({ maxBytes });
  for await (const chunk of body) {
    if (!collector.add(chunk)) {
      throw Object.assign(new RangeError('response too large'), {
        code: TOO_LARGE_CODE,
      });
    }
  }
  return new Uint8Array(collector.bytes());
}

/**
 * Reads a text body of limited size; see {@link readBody}.
 *
 * @param body - The body.
 * @param maxBytes - Maximum size.
 * @returns The text.
 */
export async function readTextBody(
  body: AsyncIterable<Uint8Array>,
  maxBytes = MAX_BODY_BYTES,
): Promise<string> {
  return new TextDecoder().decode(await readBody(body, maxBytes));
}
