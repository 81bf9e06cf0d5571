import {
  type IncomingMessage,
  validateHeaderName,
  validateHeaderValue,
} from 'node:http';
import * as E from 'fp-ts/lib/Either.js';

/** The head of a response, as Node's parser read it. */
export type ParsedHead = Pick<
  IncomingMessage,
  'statusCode' | 'headers' | 'rawHeaders'
>;

const MIN_STATUS = 100;

/**
 * Tells why a head is not that of a valid response. Nothing in such a head can be relied
 * on, not even what it says of the response's length.
 *
 * Fields are checked by the functions that check them again when they are written to a
 * caller, as what Node's parser accepts differs between its builds.
 *
 * @param head - The head.
 * @returns The reason, or undefined if the head is valid.
 *
 * @example
 * request.on('response', (response) => headProblem(response) ?? read(response));
 */
export function headProblem({
  statusCode = 0,
  rawHeaders,
}: ParsedHead): string | undefined {
  if (statusCode < MIN_STATUS) return 'response with an invalid status';
  return E.isLeft(checkFields(rawHeaders))
    ? 'response with an invalid field'
    : undefined;
}

/** Checks fields, whose names and values alternate. */
function checkFields(rawHeaders: readonly string[]): E.Either<string, void> {
  return E.tryCatch(() => {
    rawHeaders.forEach((text, index) => {
      if (index % 2 === 0) validateHeaderName(text);
      else validateHeaderValue('value', text);
    });
  }, String);
}
