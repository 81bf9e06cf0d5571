/** What is known of an event of a stream without its content. */
export interface EventMark {
  /** Id as sent; undefined if the event has none. */
  readonly id: string | undefined;
  /** Whether the event has data; one without, such as a comment, is no part of the
   * stream's content. */
  readonly hasData: boolean;
}

/** How far a stream has been delivered. */
export type StreamPosition =
  /** No event with an id or data was delivered. */
  | { readonly type: 'start' }
  | { readonly type: 'after'; readonly id: string }
  /** The last event has no id that can be ordered, so that another target's events
   * cannot be told from those that were delivered. */
  | { readonly type: 'unknown' };

/** Position of an event relative to the last delivered one. */
export type EventOrder = 'new' | 'delivered' | 'unknown';

/** Digits with an optional sign. Protocols bound neither their number nor their value,
 * so ids are never converted to numbers. */
const INTEGER = /^([+-]?)0*(\d+)$/;

interface Integer {
  readonly isNegative: boolean;
  /** Without leading zeros. */
  readonly digits: string;
}

/** Position of a stream before its first event. */
export const streamStart: StreamPosition = { type: 'start' };

/**
 * Returns the position of a stream after an event.
 *
 * @param position - Position before the event.
 * @param event - The delivered event.
 * @returns The new position.
 *
 * @example
 * advanceStream(streamStart, { id: '18446744073709551616', hasData: true });
 */
export function advanceStream(
  position: StreamPosition,
  { id, hasData }: EventMark,
): StreamPosition {
  if (id !== undefined) {
    return parseInteger(id) === undefined
      ? { type: 'unknown' }
      : { type: 'after', id };
  }
  return hasData ? { type: 'unknown' } : position;
}

/**
 * Compares an event of a resumed stream with the last delivered one, as integers of any
 * length.
 *
 * @param event - The event.
 * @param deliveredId - Id of the last delivered event.
 * @returns Whether the event is new; `unknown` if it has data and no id that can be
 * ordered.
 *
 * @example
 * orderEvent({ id: '9007199254740993', hasData: true }, '9007199254740992'); // 'new'
 */
export function orderEvent(
  { id, hasData }: EventMark,
  deliveredId: string,
): EventOrder {
  if (id === undefined) return hasData ? 'unknown' : 'new';
  const own = parseInteger(id);
  const delivered = parseInteger(deliveredId);
  if (own === undefined || delivered === undefined) return 'unknown';
  return compareIntegers(own, delivered) > 0 ? 'new' : 'delivered';
}

function parseInteger(text: string): Integer | undefined {
  const [, sign, digits] = INTEGER.exec(text) ?? [];
  return digits === undefined
    ? undefined
    : { isNegative: sign === '-' && digits !== '0', digits };
}

/** Returns a positive number if the first integer is greater, 0 if they are equal. */
function compareIntegers(a: Integer, b: Integer): number {
  if (a.isNegative !== b.isNegative) return a.isNegative ? -1 : 1;
  const bySize =
    a.digits.length - b.digits.length || compareTexts(a.digits, b.digits);
  return a.isNegative ? -bySize : bySize;
}

function compareTexts(a: string, b: string): number {
  if (a === b) return 0;
  return a > b ? 1 : -1;
}
