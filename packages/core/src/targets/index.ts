import type {
  EntryAddress,
  Target,
  TargetsUpdate,
} from '@endivegate/contracts';
import type { EventBase, SharedEvent } from '../events/index.ts';
import {
  dataCentreKey,
  pickPerDataCentre,
} from '../pickPerDataCentre/index.ts';
import type { RaiseEffect, Slice } from '../slice/index.ts';
import { type Step, unchanged } from '../step/index.ts';
import { applyTargetsUpdate, diffTargets } from './_lib/diffTargets.ts';

/** Interval between reads of the instance list by a reader, before jitter. */
export const TARGETS_READ_PERIOD_MS = 2_000;

/** Interval between reads by the other entries, before jitter. */
export const TARGETS_REFRESH_PERIOD_MS = 300_000;

const READER_ROLE = 'instance-list';

/** Targets by id, and the state of this entry's reads of the instance list. */
export interface TargetsState {
  readonly byId: ReadonlyMap<string, Target>;
  readonly self: EntryAddress | undefined;
  /** Whether this entry reads the instance list for its data centre. */
  readonly isReader: boolean;
  /** Entries of this data centre that receive updates if this entry is a reader. */
  readonly followerIds: readonly string[];
  readonly isReading: boolean;
  /** Whether this entry has read the complete list at least once. */
  readonly hasList: boolean;
  readonly nextReadAtMs: number;
}

/** Events of the targets slice. */
export type TargetsEvent = EventBase &
  (
    | {
        /** The platform's instance list was read. */
        readonly type: 'targets.listed';
        readonly targets: readonly Target[];
      }
    | { readonly type: 'targets.listFailed' }
    /** A reader sent the changes between its last two reads. */
    | { readonly type: 'targets.updated'; readonly update: TargetsUpdate }
  );

/** Effects of the targets slice. */
export type TargetsEffect =
  /** Reads the list; answered by `targets.listed` or `targets.listFailed`. */
  | { readonly type: 'targets.read' }
  | {
      readonly type: 'targets.share';
      readonly toEntryIds: readonly string[];
      readonly update: TargetsUpdate;
    };

type TargetsStep = Step<TargetsState, TargetsEffect | RaiseEffect>;

const initial: TargetsState = {
  byId: new Map(),
  self: undefined,
  isReader: true,
  followerIds: [],
  isReading: false,
  hasList: false,
  nextReadAtMs: 0,
};

/**
 * Maintains the list of targets and raises `targets.changed` when it changes.
 *
 * Two entries of each data centre, the readers, poll the platform's list and send
 * the changes to the others, so that the traffic of the list does not grow with
 * the fleet. The other entries read the list at startup and then at a long
 * interval, in case an update was lost.
 */
export const targetsSlice: Slice<TargetsState, TargetsEvent, TargetsEffect> = {
  initial,
  reduce: (state, event) => {
    switch (event.type) {
      case 'entry.started':
        return unchanged({ ...state, self: event.self });
      case 'members.changed':
        return unchanged(assignReaders(state, event));
      case 'clock.ticked':
        return readWhenDue(state, event);
      case 'targets.listed':
        return applyList(state, event);
      case 'targets.listFailed':
        return unchanged(scheduleRead({ ...state, isReading: false }, event));
      case 'targets.updated':
        return installTargets(
          state,
          event,
          applyTargetsUpdate(state.byId, event.update),
        );
      default:
        return unchanged(state);
    }
  },
};

function assignReaders(
  state: TargetsState,
  event: Extract<SharedEvent, { readonly type: 'members.changed' }>,
): TargetsState {
  const { self } = state;
  if (self === undefined) return state;
  const sameDataCentre = event.live.filter(
    (entry) => dataCentreKey(entry) === dataCentreKey(self),
  );
  const readerIds = pickPerDataCentre(READER_ROLE, sameDataCentre);
  const isReader = readerIds.includes(self.entryId);
  const followerIds = sameDataCentre
    .map(({ entryId }) => entryId)
    .filter((entryId) => !readerIds.includes(entryId));
  const next = { ...state, isReader, followerIds };
  // A new reader reads at once, since it may have missed an earlier update.
  return isReader && !state.isReader
    ? { ...next, nextReadAtMs: event.atMs }
    : next;
}

function readWhenDue(state: TargetsState, event: EventBase): TargetsStep {
  if (state.isReading || event.atMs < state.nextReadAtMs) {
    return unchanged(state);
  }
  return {
    state: { ...state, isReading: true },
    effects: [{ type: 'targets.read' }],
  };
}

function applyList(
  state: TargetsState,
  event: Extract<TargetsEvent, { readonly type: 'targets.listed' }>,
): TargetsStep {
  const update = diffTargets(state.byId, event.targets);
  const read = { ...state, isReading: false, hasList: true };
  const installed = installTargets(
    scheduleRead(read, event),
    event,
    applyTargetsUpdate(state.byId, update),
  );
  const changedSinceLastList =
    installed.state.byId !== state.byId && state.hasList;
  if (
    !changedSinceLastList ||
    !state.isReader ||
    state.followerIds.length === 0
  ) {
    return installed;
  }
  return {
    state: installed.state,
    effects: [
      ...installed.effects,
      { type: 'targets.share', toEntryIds: state.followerIds, update },
    ],
  };
}

function scheduleRead(state: TargetsState, event: EventBase): TargetsState {
  const readsFrequently = state.isReader || !state.hasList;
  const periodMs = readsFrequently
    ? TARGETS_READ_PERIOD_MS
    : TARGETS_REFRESH_PERIOD_MS;
  const jitter = 0.75 + event.random / 2;
  return { ...state, nextReadAtMs: event.atMs + periodMs * jitter };
}

function installTargets(
  state: TargetsState,
  event: EventBase,
  byId: TargetsState['byId'],
): TargetsStep {
  if (byId === state.byId) return unchanged(state);
  const { atMs, random } = event;
  const targets = [...byId.values()];
  return {
    state: { ...state, byId },
    effects: [
      {
        type: 'raise',
        event: { type: 'targets.changed', atMs, random, targets },
      },
    ],
  };
}
