import type { SharedEvent } from '../events/index.ts';
import type { Step } from '../step/index.ts';

/** Effect that feeds another event into the reducer before the step ends. */
export interface RaiseEffect {
  readonly type: 'raise';
  readonly event: SharedEvent;
}

/**
 * A part of the state with the reducer that owns it.
 *
 * The reducer receives the slice's own events (type prefixed by the slice's
 * name and a dot) and every shared event. It never sees another slice's state.
 */
export interface Slice<State, Event, Effect> {
  readonly initial: State;
  readonly reduce: (
    state: State,
    event: Event | SharedEvent,
  ) => Step<State, Effect | RaiseEffect>;
}
