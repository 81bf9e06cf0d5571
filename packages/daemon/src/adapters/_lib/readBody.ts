import { type AnswerBudget, collectBytes } from '@endivegate/core/forwarding';

/**
 * Limit of a body whose size is not stated: plain answers and lists of several MB
 * are sound.
 */
export const MAX_BODY_BYTES = 32 * 1024 * 1024;

/** Limit of all bodies that a port is receiving. */
export const MAX_RECEIVED_BYTES = 256 * 1024 * 1024;

/** Limits of {@link readBody}. */
export interface ReadBodyOptions {
  /** Maximum size; {@link MAX_BODY_BYTES} by default. */
  readonly maxBytes?: number;
  /** Shared by the bodies that are being read; without it, they are bounded one by one. */
  readonly budget?: AnswerBudget;
}

/** Code of the error of a body that exceeds its limit. */
const TOO_LARGE_CODE = 'RESPONSE_TOO_LARGE';

/**
 * Reads a response body of limited size.
 *
 * @param body - The body; destroyed with its connection above a limit.
 * @param options - Limits.
 * @returns The body.
 * @throws RangeError with a code when a limit is exceeded, or the error with
 * which the body breaks off.
 */
export async function readBody(
  body: AsyncIterable<Uint8Array>,
  { maxBytes = MAX_BODY_BYTES, budget }: ReadBodyOptions = {},
): Promise<Uint8Array<ArrayBuffer>> {
  const blocks = budget?.blocks;
  const collector = collectBytes({
    maxBytes,
    ...(blocks === undefined ? {} : { blocks }),
  });
  const state = { isGivenUp: false };
  const held = budget?.hold(() => {
    state.isGivenUp = true;
    collector.clear();
  });
  try {
    for await (const chunk of body) {
      const hasRoom = !state.isGivenUp && collector.add(chunk);
      held?.resize(hasRoom ? collector.byteLength() : 0);
      if (!hasRoom) throw tooLarge();
    }
    if (state.isGivenUp) throw tooLarge();
    return new Uint8Array(collector.bytes());
  } finally {
    collector.clear();
    held?.release();
  }
}

function tooLarge(): RangeError {
  return Object.assign(new RangeError('response too large'), {
    code: TOO_LARGE_CODE,
  });
}

/**
 * Reads a text body of limited size; see {@link readBody}.
 *
 * @param body - The body.
 * @param options - Limits.
 * @returns The text.
 */
export async function readTextBody(
  body: AsyncIterable<Uint8Array>,
  options: ReadBodyOptions = {},
): Promise<string> {
  return new TextDecoder().decode(await readBody(body, options));
}
