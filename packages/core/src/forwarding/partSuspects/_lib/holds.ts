import type { KnownBlock, PartBlock } from '../types.ts';
import { isRequestPart } from './requestPart.ts';

const MS_PER_S = 1000;
const MS_PER_MINUTE = 60_000;

/** Time until the first trial of blocked parts, and after each one that ended with
 * a death. */
const HOLDS_MS: readonly number[] = [10, 120, 1440].map(
  (minutes) => minutes * MS_PER_MINUTE,
);

/** The same for whole requests. They come again at once and in numbers, so that a sound
 * one must heal within seconds; one that crashes targets reaches three more in a day. */
const REQUEST_HOLDS_MS: readonly number[] = [
  5 * MS_PER_S,
  MS_PER_MINUTE,
  120 * MS_PER_MINUTE,
  1440 * MS_PER_MINUTE,
];

/** A trial without a result is repeated after this time. */
const TRIAL_REPEAT_MS = 10 * MS_PER_MINUTE;
const REQUEST_TRIAL_REPEAT_MS = MS_PER_MINUTE;

/** Time from the start of a block until its parts may be tried again. */
export function holdMsOf(block: PartBlock): number {
  const holds = blocksRequest(block) ? REQUEST_HOLDS_MS : HOLDS_MS;
  return holds[Math.min(block.level, holds.length - 1)] ?? 0;
}

/** Time at which the parts of a block may be tried again. */
export function endMsOf(block: KnownBlock): number {
  const repeatMs = blocksRequest(block)
    ? REQUEST_TRIAL_REPEAT_MS
    : TRIAL_REPEAT_MS;
  return Math.max(
    block.sinceMs + holdMsOf(block),
    (block.triedAtMs ?? -Infinity) + repeatMs,
  );
}

function blocksRequest({ parts }: PartBlock): boolean {
  return parts.some(isRequestPart);
}
