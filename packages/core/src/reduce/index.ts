import type { SharedEvent } from '../events/index.ts';
import type { Step } from '../step/index.ts';

/** State of all slices. */
export interface RootState {
  readonly startedAtMs: number;
}

/** Every event of an entry. */
export type RootEvent = SharedEvent;

/** Every effect of an entry. */
export interface RootEffect {
  readonly type: 'none';
}

/**
 * Reduces one event over all slices.
 *
 * @param state - State of the entry.
 * @param event - What happened.
 * @returns The next state and the effects to run, in order.
 */
export function reduce(
  state: RootState,
  event: RootEvent,
): Step<RootState, RootEffect> {
  if (event.type !== 'entry.started') return { state, effects: [] };
  return { state: { startedAtMs: event.atMs }, effects: [] };
}
