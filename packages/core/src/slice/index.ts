import type { SharedEvent } from '../events/index.ts';
import type { Step } from '../step/index.ts';

/** Effect that has another event reduced before the step ends. */
export interface RaiseEffect {
  readonly type: 'raise';
  readonly event: SharedEvent;
}

/**
 * A part of the state and the reducer that updates it.
 *
 * The reducer receives the slice's own events, whose type starts with the
 * slice's name and a dot, and every shared event. It cannot read another
 * slice's state.
 */
export interface Slice<State, Event, Effect> {
  readonly initial: State;
  readonly reduce: (
    state: State,
    event: Event | SharedEvent,
  ) => Step<State, Effect | RaiseEffect>;
}
