import { isSharedEvent } from '../events/index.ts';
import type { RaiseEffect, Slice } from '../slice/index.ts';
import type { Reducer, Step } from '../step/index.ts';

interface AnyEvent {
  readonly type: string;
}

type AnySlice = Slice<unknown, AnyEvent, AnyEvent>;

type SlicesState = Readonly<Record<string, unknown>>;

/** Shape of a slice with any types of state, event and effect. */
export interface AnySliceShape {
  readonly initial: unknown;
  readonly reduce: (state: never, event: never) => Step<unknown, AnyEvent>;
}

/** Slices by name. Types of a slice's own events start with its name. */
export type SlicesByName = Readonly<Record<string, AnySliceShape>>;

/**
 * Composes slices into one reducer over all events.
 *
 * A slice receives the shared events and its own events, whose type starts with
 * its name and a dot. Events that a step raises are reduced before the step
 * ends. They stay in its effects, each before the effects that it caused, so
 * that they can be recorded.
 *
 * @param slicesByName - The slices, in the order in which they receive an
 *   event.
 * @returns The reducer; its effects are those of all slices, in order.
 *
 * @example
 * const reduce = createReduce<State, Event, Effect>({ clock: clockSlice });
 */
export function createReduce<State, Event extends AnyEvent, Effect>(
  slicesByName: SlicesByName,
): Reducer<State, Event, Effect> {
  const slices = Object.entries(slicesByName) as unknown as readonly (readonly [
    string,
    AnySlice,
  ])[];

  function reduceAll(
    state: SlicesState,
    event: AnyEvent,
  ): Step<SlicesState, AnyEvent> {
    const step = slices
      .filter(([name]) => isSharedEvent(event) || isOwnEvent(event, name))
      .reduce<Step<SlicesState, AnyEvent>>(
        (done, [name, slice]) => applySlice(done, { name, slice, event }),
        { state, effects: [] },
      );
    return step.effects.reduce<Step<SlicesState, AnyEvent>>(resolveEffect, {
      state: step.state,
      effects: [],
    });
  }

  function resolveEffect(
    done: Step<SlicesState, AnyEvent>,
    effect: AnyEvent,
  ): Step<SlicesState, AnyEvent> {
    if (!isRaiseEffect(effect)) {
      return { state: done.state, effects: [...done.effects, effect] };
    }
    const raised = reduceAll(done.state, effect.event);
    return {
      state: raised.state,
      effects: [...done.effects, effect, ...raised.effects],
    };
  }

  return reduceAll as unknown as Reducer<State, Event, Effect>;
}

/**
 * Returns the state of the given slices before their first event.
 *
 * @param slicesByName - The slices.
 * @returns The initial state of each, by name.
 *
 * @example
 * const state = initialStateOf({ clock: clockSlice });
 */
export function initialStateOf(slicesByName: SlicesByName): SlicesState {
  return Object.fromEntries(
    Object.entries(slicesByName).map(([name, slice]) => [name, slice.initial]),
  );
}

function isOwnEvent(event: AnyEvent, sliceName: string): boolean {
  return event.type.startsWith(`${sliceName}.`);
}

function isRaiseEffect(effect: AnyEvent): effect is RaiseEffect {
  return effect.type === 'raise';
}

function applySlice(
  done: Step<SlicesState, AnyEvent>,
  options: {
    readonly name: string;
    readonly slice: AnySlice;
    readonly event: AnyEvent;
  },
): Step<SlicesState, AnyEvent> {
  const before = done.state[options.name];
  const step = options.slice.reduce(before, options.event);
  if (step.state === before && step.effects.length === 0) return done;
  return {
    state: { ...done.state, [options.name]: step.state },
    effects: [...done.effects, ...step.effects],
  };
}
