import { isSharedEvent, type SharedEvent } from '../events/index.ts';
import type { RaiseEffect, Slice } from '../slice/index.ts';
import type { Step } from '../step/index.ts';
import { clockSlice } from '../clock/index.ts';
import { membershipSlice } from '../membership/index.ts';
import { routingSlice } from '../routing/index.ts';
import { targetsSlice } from '../targets/index.ts';

/** Registered slices by name; the name prefixes the slice's event types. */
const slices = {
  clock: clockSlice,
  targets: targetsSlice,
  membership: membershipSlice,
  routing: routingSlice,
};

type Slices = typeof slices;
type SliceName = keyof Slices;
type Parts<S> =
  S extends Slice<infer State, infer Event, infer Effect>
    ? { state: State; event: Event; effect: Effect }
    : never;

/** State of all slices. */
export type RootState = {
  readonly [K in SliceName]: Parts<Slices[K]>['state'];
};

/** Every event of an entry. */
export type RootEvent =
  SharedEvent | { [K in SliceName]: Parts<Slices[K]>['event'] }[SliceName];

/** Every effect the daemon runs. */
export type RootEffect = {
  [K in SliceName]: Parts<Slices[K]>['effect'];
}[SliceName];

type AnySlice = Slice<unknown, { readonly type: string }, RootEffect>;

const sliceEntries = Object.entries(slices) as unknown as readonly (readonly [
  SliceName,
  AnySlice,
])[];

/** State of an entry before its first event. */
export const initialRootState = Object.fromEntries(
  sliceEntries.map(([name, slice]) => [name, slice.initial]),
) as RootState;

/**
 * Reduces one event over all slices, with the events that the step raises.
 *
 * @param state - State of the entry.
 * @param event - What happened.
 * @returns The next state and the effects to run, in order.
 *
 * @example
 * const { state, effects } = reduce(initialRootState, event);
 */
export function reduce(
  state: RootState,
  event: RootEvent,
): Step<RootState, RootEffect> {
  const step = sliceEntries
    .filter(([name]) => isSharedEvent(event) || belongsTo(event, name))
    .reduce<Step<RootState, RootEffect | RaiseEffect>>(
      (done, [name, slice]) => applySlice(done, { name, slice, event }),
      { state, effects: [] },
    );
  return step.effects.reduce<Step<RootState, RootEffect>>(resolveEffect, {
    state: step.state,
    effects: [],
  });
}

function belongsTo(event: { readonly type: string }, name: string): boolean {
  return event.type.startsWith(`${name}.`);
}

function applySlice(
  done: Step<RootState, RootEffect | RaiseEffect>,
  options: {
    readonly name: SliceName;
    readonly slice: AnySlice;
    readonly event: RootEvent;
  },
): Step<RootState, RootEffect | RaiseEffect> {
  const before = done.state[options.name];
  const step = options.slice.reduce(before, options.event);
  if (step.state === before && step.effects.length === 0) return done;
  return {
    state: { ...done.state, [options.name]: step.state },
    effects: [...done.effects, ...step.effects],
  };
}

function resolveEffect(
  done: Step<RootState, RootEffect>,
  effect: RootEffect | RaiseEffect,
): Step<RootState, RootEffect> {
  if (effect.type !== 'raise') {
    return { state: done.state, effects: [...done.effects, effect] };
  }
  const raised = reduce(done.state, effect.event);
  return {
    state: raised.state,
    effects: [...done.effects, ...raised.effects],
  };
}
