/**
 * Result of reducing one event.
 *
 * `effects` are plain data: the daemon runs them and reports their outcomes as
 * later events.
 */
export interface Step<State, Effect> {
  readonly state: State;
  readonly effects: readonly Effect[];
}

/** A pure function from state and event to the next state and its effects. */
export type Reducer<State, Event, Effect> = (
  state: State,
  event: Event,
) => Step<State, Effect>;

/**
 * Returns a step that changes nothing.
 *
 * @param state - The state to keep.
 * @returns A step with the same state and no effects.
 */
export function unchanged<State>(state: State): Step<State, never> {
  return { state, effects: [] };
}
