import { createReduce, initialStateOf } from '../createReduce/index.ts';
import type { SharedEvent } from '../events/index.ts';
import type { RaiseEffect, Slice } from '../slice/index.ts';
import type { Reducer } from '../step/index.ts';
import { clockSlice } from '../clock/index.ts';
import { leavingSlice } from '../leaving/index.ts';
import { membershipSlice } from '../membership/index.ts';
import { memorySlice } from '../memory/index.ts';
import { ordersSlice } from '../orders/index.ts';
import { onceSlice } from '../once/index.ts';
import { requestsSlice } from '../requests/index.ts';
import { suspectsSlice } from '../suspects/index.ts';
import { tableSlice } from '../table/index.ts';
import { routingSlice } from '../routing/index.ts';
import { targetsSlice } from '../targets/index.ts';

/** All slices by name. Types of a slice's own events start with its name. */
export const rootSlices = {
  clock: clockSlice,
  table: tableSlice,
  targets: targetsSlice,
  membership: membershipSlice,
  leaving: leavingSlice,
  requests: requestsSlice,
  once: onceSlice,
  memory: memorySlice,
  suspects: suspectsSlice,
  routing: routingSlice,
  orders: ordersSlice,
};

type Slices = typeof rootSlices;
type SliceName = keyof Slices;
type SliceTypes<S> =
  S extends Slice<infer State, infer Event, infer Effect>
    ? { state: State; event: Event; effect: Effect }
    : never;

/** State of all slices. */
export type RootState = {
  readonly [K in SliceName]: SliceTypes<Slices[K]>['state'];
};

/** Any event of an entry. */
export type RootEvent =
  SharedEvent | { [K in SliceName]: SliceTypes<Slices[K]>['event'] }[SliceName];

/** Any effect of an entry. Events in `raise` effects are already reduced. */
export type RootEffect =
  | RaiseEffect
  | { [K in SliceName]: SliceTypes<Slices[K]>['effect'] }[SliceName];

/** State of an entry before the first event. */
export const initialRootState = initialStateOf(rootSlices) as RootState;

/**
 * Reduces one event, and the events that it raises, over all slices.
 *
 * @param state - State of the entry.
 * @param event - The event.
 * @returns The next state and the effects to run, in order.
 *
 * @example
 * const { state, effects } = reduce(initialRootState, event);
 */
export const reduce: Reducer<RootState, RootEvent, RootEffect> =
  createReduce(rootSlices);
