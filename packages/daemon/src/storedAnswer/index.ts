import {
  MAX_STORED_ANSWER_CHARS,
  type ServiceAnswer,
  type StoredAnswer,
} from '@endivegate/contracts';

/**
 * Converts a plain service's answer to the form kept with its claim.
 *
 * @param answer - The answer.
 * @returns The stored form, or undefined when it is too large to be kept.
 */
export function toStoredAnswer(
  answer: ServiceAnswer,
): StoredAnswer | undefined {
  const bodyBase64 = Buffer.from(answer.body).toString('base64');
  if (bodyBase64.length > MAX_STORED_ANSWER_CHARS) return undefined;
  return {
    status: answer.status,
    contentType: answer.contentType,
    bodyBase64,
  };
}

/**
 * Converts a stored answer back to the answer of a request.
 *
 * @param stored - The stored form.
 * @param requestId - Request that it answers now.
 * @returns The answer.
 */
export function restoreAnswer(
  stored: StoredAnswer,
  requestId: string,
): ServiceAnswer {
  return {
    attemptId: requestId,
    status: stored.status,
    contentType: stored.contentType,
    body: Buffer.from(stored.bodyBase64, 'base64'),
  };
}
