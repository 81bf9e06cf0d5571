import { headProblem, type ParsedHead } from '../headProblem/index.ts';
import type { TargetHead } from '../httpDialect/index.ts';

/** What {@link responseProblem} compares a head with. */
export interface ResponseProblemQuery {
  /** Id of the attempt that was sent. */
  readonly attemptId: string;
  /** The same head in the terms of the gateway. */
  readonly target: TargetHead;
}

const MIN_SUCCESS_STATUS = 200;
const MIN_REDIRECT_STATUS = 300;

/**
 * Tells why the response to an attempt cannot be passed on, from its head.
 *
 * @param head - The head.
 * @param query - The attempt that was sent, and what the head says about it.
 * @returns The reason, or undefined if the response may be passed on.
 *
 * @example
 * const problem = responseProblem(response, { attemptId: 'a1', target });
 */
export function responseProblem(
  head: ParsedHead,
  { attemptId, target }: ResponseProblemQuery,
): string | undefined {
  const { statusCode: status = 0, headers } = head;
  const invalid = headProblem(head);
  if (invalid !== undefined) return invalid;
  const isSuccess =
    status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS;
  if (target.attemptId !== undefined && target.attemptId !== attemptId)
    return 'response to another request';
  if (!isReadableCoding(headers['transfer-encoding']))
    return 'response has a transfer coding other than chunked';
  if (!isSuccess) return undefined;
  if (target.attemptId === undefined)
    return 'successful response without an attempt id';
  if (!target.isSigned) return 'successful response without a signature';
  return headers['content-encoding'] === undefined
    ? undefined
    : 'response has a content encoding';
}

/** Whether the parser removes a transfer coding, which is not passed on. `identity`, of
 * earlier versions of HTTP, changes nothing. */
function isReadableCoding(codings = 'identity'): boolean {
  return ['chunked', 'identity'].includes(codings.trim().toLowerCase());
}
