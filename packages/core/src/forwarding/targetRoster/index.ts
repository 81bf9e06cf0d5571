import type { ListedTarget } from '@endivegate/contracts/forwarding';
import { xxHash32 } from 'js-xxhash';
import type { Step } from '../../step/index.ts';

/** A target with what this entry observed of it. */
export interface RosterTarget extends ListedTarget {
  /** Set while its removal is held back; removed when this time passes. */
  readonly missingUntilMs: number | undefined;
  /** No new request goes there before this time, unless nothing else is left. */
  readonly avoidUntilMs: number;
  /** Failures in a row. */
  readonly failures: number;
  /** Observed ÷ expected time, smoothed; 1 is as published. */
  readonly pace: number;
  /** Stands for the id in messages between entries. */
  readonly idHash: number;
  /** Place in [0, 1), the same at every entry; short prompts fill low places. */
  readonly laneRank: number;
}

/** Targets by id. */
export interface RosterState {
  readonly targets: ReadonlyMap<string, RosterTarget>;
  /** Until then absence from the list proves nothing. */
  readonly unsettledUntilMs: number;
  /** Ids that were seen draining or removed; they never come back as ready. */
  readonly leftIds: ReadonlyMap<string, number>;
}

/**
 * What failed: `broken` is a connection or an answer; `slow` only kept a request
 * waiting, which load explains too; `replaced` says that another process answers
 * at the target's address.
 */
export type FailureCause = 'broken' | 'slow' | 'replaced';

/** Events of the roster; times are of the monotonic clock. */
export type RosterEvent =
  /** A whole list was read. */
  | {
      readonly type: 'roster.listed';
      readonly atMs: number;
      readonly targets: readonly ListedTarget[];
    }
  | {
      readonly type: 'roster.put';
      readonly atMs: number;
      readonly target: ListedTarget;
    }
  /** An entry was deleted, or can no longer be read. */
  | {
      readonly type: 'roster.removed';
      readonly atMs: number;
      readonly id: string;
    }
  /** The list could not be read; entries may lapse meanwhile. */
  | { readonly type: 'roster.storeLost'; readonly atMs: number }
  /** A peer learned that targets are draining or gone. */
  | {
      readonly type: 'roster.leavingHeard';
      readonly atMs: number;
      readonly ids: readonly string[];
    }
  | {
      readonly type: 'roster.succeeded';
      readonly atMs: number;
      readonly id: string;
      /** Observed ÷ expected time; undefined when it was not comparable. */
      readonly ratio: number | undefined;
    }
  | {
      readonly type: 'roster.failed';
      readonly atMs: number;
      readonly id: string;
      readonly reason: string;
      readonly cause: FailureCause;
    }
  | { readonly type: 'roster.ticked'; readonly atMs: number };

/** A change of belief that is logged. */
export interface RosterEffect {
  readonly type: 'roster.changed';
  readonly id: string;
  readonly change:
    'added' | 'draining' | 'held' | 'removed' | 'restarted' | 'avoided';
  readonly reason: string;
}

/** Lapsed entries of live targets are back this long after the store is. */
export const LAPSED_RETURN_MS = 2300;

/** First pause after a failure; it doubles with each failure in a row. */
const FIRST_AVOID_MS = 400;

/** Pause after a silence that may be due to load: a few passes. */
const SLOW_AVOID_MS = 300;

/** Longest pause; a target that was away serves again within this time. */
const LONGEST_AVOID_MS = 4000;

/** Ids are remembered as gone for this long. */
const LEFT_MEMORY_MS = 60_000;

const HASH_RANGE = 2 ** 32;

/** Weight of an observed pace that is slower than known, and of a faster one:
 * a slow target is to be noticed within a few streams. */
const SLOWER_GAIN = 0.4;
const FASTER_GAIN = 0.2;
const PACE_BOUND = 20;

/** Pauses up to this many times the predicted ones are taken for load. */
const PACE_NOISE = 1.6;

/** Roster before the first list. */
export const initialRoster: RosterState = {
  targets: new Map(),
  unsettledUntilMs: 0,
  leftIds: new Map(),
};

type RosterStep = Step<RosterState, RosterEffect>;

/**
 * Keeps the list of targets and what was observed of each.
 *
 * A draining entry is kept out of every choice for good. An entry that is
 * missing shortly after the store was away is kept for
 * {@link LAPSED_RETURN_MS}, since lapsed entries of live targets return then.
 *
 * @param state - The roster.
 * @param event - What happened.
 * @returns The next roster and the changes to log.
 *
 * @example
 * reduceRoster(initialRoster, { type: 'roster.listed', atMs: 0, targets });
 */
export function reduceRoster(
  state: RosterState,
  event: RosterEvent,
): RosterStep {
  switch (event.type) {
    case 'roster.listed':
      return applyList(state, event.targets, event.atMs);
    case 'roster.put':
      return put(state, event.target, event.atMs);
    case 'roster.removed':
      return remove(state, event.id, event.atMs);
    case 'roster.storeLost':
      return {
        state: { ...state, unsettledUntilMs: Infinity },
        effects: [],
      };
    case 'roster.leavingHeard':
      return event.ids.reduce<RosterStep>(
        (step, id) => chain(step, (now) => markLeft(now, id, event.atMs)),
        { state, effects: [] },
      );
    case 'roster.succeeded':
      return succeed(state, event);
    case 'roster.failed':
      return fail(state, event);
    case 'roster.ticked':
      return tick(state, event.atMs);
  }
}

/**
 * Lists the targets of a service that may get new requests.
 *
 * @param state - The roster.
 * @param service - Name of the service.
 * @returns Its targets that are neither draining nor gone.
 *
 * @example
 * usableTargets(state, 'ledger');
 */
export function usableTargets(
  state: RosterState,
  service: string,
): readonly RosterTarget[] {
  return [...state.targets.values()].filter(
    (target) => target.service === service && !target.draining,
  );
}

function applyList(
  state: RosterState,
  targets: readonly ListedTarget[],
  atMs: number,
): RosterStep {
  const settled: RosterState =
    state.unsettledUntilMs === Infinity
      ? { ...state, unsettledUntilMs: atMs + LAPSED_RETURN_MS }
      : state;
  const listedIds = new Set(targets.map((target) => target.id));
  const absentIds = [...state.targets.keys()].filter(
    (id) => !listedIds.has(id),
  );
  const withListed = targets.reduce<RosterStep>(
    (step, target) => chain(step, (now) => put(now, target, atMs)),
    { state: settled, effects: [] },
  );
  return absentIds.reduce<RosterStep>(
    (step, id) => chain(step, (now) => remove(now, id, atMs)),
    withListed,
  );
}

function put(
  state: RosterState,
  listed: ListedTarget,
  atMs: number,
): RosterStep {
  const known = state.targets.get(listed.id);
  const restarted = known !== undefined && known.bornMs !== listed.bornMs;
  const left = state.leftIds.has(leftKey(listed));
  const target: RosterTarget = {
    missingUntilMs: undefined,
    avoidUntilMs: 0,
    failures: 0,
    pace: 1,
    idHash: xxHash32(listed.id),
    laneRank: xxHash32(listed.id) / HASH_RANGE,
    ...(restarted ? {} : observedOf(known)),
    ...listed,
    draining: listed.draining || left,
  };
  const change = changeOf(known, target, restarted);
  return {
    state: {
      ...state,
      targets: new Map(state.targets).set(target.id, target),
      leftIds: target.draining
        ? new Map(state.leftIds).set(leftKey(target), atMs)
        : state.leftIds,
    },
    effects: change === undefined ? [] : [changed(target.id, change, 'listed')],
  };
}

function observedOf(known: RosterTarget | undefined): Partial<RosterTarget> {
  if (known === undefined) return {};
  const { avoidUntilMs, failures, pace } = known;
  return { avoidUntilMs, failures, pace };
}

function changeOf(
  known: RosterTarget | undefined,
  next: RosterTarget,
  restarted: boolean,
): RosterEffect['change'] | undefined {
  if (known === undefined) return 'added';
  if (restarted) return 'restarted';
  return next.draining && !known.draining ? 'draining' : undefined;
}

function remove(state: RosterState, id: string, atMs: number): RosterStep {
  const known = state.targets.get(id);
  if (known === undefined) return { state, effects: [] };
  const isHeld = atMs < state.unsettledUntilMs && !known.draining;
  if (!isHeld) return drop(state, known, 'no longer listed');
  if (known.missingUntilMs !== undefined) return { state, effects: [] };
  const missingUntilMs = Number.isFinite(state.unsettledUntilMs)
    ? state.unsettledUntilMs
    : Infinity;
  return {
    state: withTarget(state, { ...known, missingUntilMs }),
    effects: [changed(id, 'held', 'missing after the store was away')],
  };
}

function drop(
  state: RosterState,
  target: RosterTarget,
  reason: string,
): RosterStep {
  const targets = new Map(state.targets);
  targets.delete(target.id);
  return {
    state: { ...state, targets },
    effects: [changed(target.id, 'removed', reason)],
  };
}

function markLeft(state: RosterState, id: string, atMs: number): RosterStep {
  const known = state.targets.get(id);
  if (known === undefined || known.draining) return { state, effects: [] };
  return put(state, { ...known, draining: true }, atMs);
}

function succeed(
  state: RosterState,
  event: Extract<RosterEvent, { type: 'roster.succeeded' }>,
): RosterStep {
  const known = state.targets.get(event.id);
  if (known === undefined) return { state, effects: [] };
  const ratio = paceOf(event.ratio ?? known.pace);
  const gain = ratio > known.pace ? SLOWER_GAIN : FASTER_GAIN;
  const pace = Math.max(known.pace + gain * (ratio - known.pace), 1);
  return {
    state: withTarget(state, { ...known, failures: 0, avoidUntilMs: 0, pace }),
    effects: [],
  };
}

/** Load explains pauses that are a little longer than predicted. */
function paceOf(ratio: number): number {
  return ratio < PACE_NOISE ? 1 : Math.min(ratio, PACE_BOUND);
}

function fail(
  state: RosterState,
  event: Extract<RosterEvent, { type: 'roster.failed' }>,
): RosterStep {
  const known = state.targets.get(event.id);
  if (known === undefined) return { state, effects: [] };
  const failures = event.cause === 'slow' ? known.failures : known.failures + 1;
  const pauseMs = avoidMs(event.cause, failures);
  return {
    state: withTarget(state, {
      ...known,
      failures,
      avoidUntilMs: event.atMs + pauseMs,
    }),
    effects: [changed(event.id, 'avoided', event.reason)],
  };
}

function avoidMs(cause: FailureCause, failures: number): number {
  switch (cause) {
    case 'slow':
      return SLOW_AVOID_MS;
    case 'replaced':
      return LONGEST_AVOID_MS;
    case 'broken':
      return Math.min(FIRST_AVOID_MS * 2 ** (failures - 1), LONGEST_AVOID_MS);
  }
}

function tick(state: RosterState, atMs: number): RosterStep {
  const expired = [...state.targets.values()].filter(
    (target) =>
      target.missingUntilMs !== undefined &&
      atMs >= Math.min(target.missingUntilMs, state.unsettledUntilMs),
  );
  const leftIds = new Map(
    [...state.leftIds].filter(([, sinceMs]) => atMs - sinceMs < LEFT_MEMORY_MS),
  );
  const kept = leftIds.size === state.leftIds.size ? state.leftIds : leftIds;
  return expired.reduce<RosterStep>(
    (step, target) =>
      chain(step, (now) => drop(now, target, 'did not return to the list')),
    { state: { ...state, leftIds: kept }, effects: [] },
  );
}

function withTarget(state: RosterState, target: RosterTarget): RosterState {
  return { ...state, targets: new Map(state.targets).set(target.id, target) };
}

/** One process under an id; a restart under the same id is another. */
function leftKey(target: ListedTarget): string {
  return `${target.id}@${target.bornMs}`;
}

function changed(
  id: string,
  change: RosterEffect['change'],
  reason: string,
): RosterEffect {
  return { type: 'roster.changed', id, change, reason };
}

function chain(
  step: RosterStep,
  next: (state: RosterState) => RosterStep,
): RosterStep {
  const { state, effects } = next(step.state);
  return { state, effects: [...step.effects, ...effects] };
}
