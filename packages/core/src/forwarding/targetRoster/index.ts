import type { ListedTarget } from '@endivegate/contracts/forwarding';
import { xxHash32 } from 'js-xxhash';
import type { Step } from '../../step/index.ts';

/** A listed target with the observations of this entry. */
export interface RosterTarget extends ListedTarget {
  /** Time at which a held removal takes effect; undefined when none is held. */
  readonly removalDueAtMs: number | undefined;
  /** Until this time new requests go there only when no other target is left. */
  readonly avoidUntilMs: number;
  /** Consecutive failures. */
  readonly failures: number;
  /** Smoothed ratio of observed to expected time; 1 matches the cost model. */
  readonly slowdown: number;
  /** Replaces the id in messages between entries. */
  readonly idHash: number;
  /** Rank in [0, 1), the same at every entry; short prompts prefer low ranks. */
  readonly laneRank: number;
}

/** Known targets, and the processes that were seen draining. */
export interface RosterState {
  readonly targets: ReadonlyMap<string, RosterTarget>;
  /** Until this time, a target that is missing from the list is kept. */
  readonly holdRemovalsUntilMs: number;
  /** Time at which each process was last seen draining, by {@link processKey}.
   * While it is remembered, such a process is not usable even if it is listed as
   * ready. */
  readonly drainedProcesses: ReadonlyMap<string, number>;
}

/**
 * Cause of a failure: `broken` is a failed connection or answer; `slow` is a
 * silence, which may also be due to load; `replaced` means that another process
 * answers at the target's address.
 */
export type FailureCause = 'broken' | 'slow' | 'replaced';

/** Events of the roster; times are from the monotonic clock. */
export type RosterEvent =
  /** The complete list was read. */
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
  /** A list entry was deleted or can no longer be read. */
  | {
      readonly type: 'roster.removed';
      readonly atMs: number;
      readonly id: string;
    }
  /** The list could not be read; list entries may lapse in the meantime. */
  | { readonly type: 'roster.storeLost'; readonly atMs: number }
  /** A peer reported targets that are draining or gone. */
  | {
      readonly type: 'roster.leavingHeard';
      readonly atMs: number;
      readonly ids: readonly string[];
    }
  | {
      readonly type: 'roster.succeeded';
      readonly atMs: number;
      readonly id: string;
      /** Ratio of observed to expected time; undefined if not comparable. */
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

/** A roster change to log. */
export interface RosterEffect {
  readonly type: 'roster.changed';
  readonly id: string;
  readonly change:
    'added' | 'draining' | 'held' | 'removed' | 'restarted' | 'avoided';
  readonly reason: string;
}

/** Time within which live targets renew their lapsed list entries after a store
 * outage. */
export const LAPSED_ENTRY_GRACE_MS = 2300;

/** Time to avoid a target after its first failure; it doubles with each
 * consecutive failure. */
const INITIAL_AVOID_MS = 400;

/** Time to avoid a target after a silence that may be due to load: a few passes. */
const SLOW_AVOID_MS = 300;

/** Longest time to avoid a target, so that a recovered target is used again
 * within it. */
const MAX_AVOID_MS = 4000;

/** Time for which drained processes are remembered. */
const DRAINED_RETENTION_MS = 60_000;

const HASH_RANGE = 2 ** 32;

/** Smoothing weights of an observation slower or faster than the current value.
 * The weight of a slower one is higher, to detect a slow target within a few
 * streams. */
const SLOWER_GAIN = 0.4;
const FASTER_GAIN = 0.2;
const MAX_SLOWDOWN = 20;

/** Ratios below this are attributed to load and count as 1. */
const SLOWDOWN_NOISE = 1.6;

/** Roster before the first list is read. */
export const initialRoster: RosterState = {
  targets: new Map(),
  holdRemovalsUntilMs: 0,
  drainedProcesses: new Map(),
};

type RosterStep = Step<RosterState, RosterEffect>;

/**
 * Maintains the list of targets and the observations of each.
 *
 * A draining process is never selected again. A target that is missing from the
 * list after a store outage is kept for {@link LAPSED_ENTRY_GRACE_MS}, because
 * live targets renew their lapsed list entries within this time.
 *
 * @param state - Current roster.
 * @param event - The event to apply.
 * @returns The new roster and the changes to log.
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
      return upsertTarget(state, event.target, event.atMs);
    case 'roster.removed':
      return removeTarget(state, event.id, event.atMs);
    case 'roster.storeLost':
      return {
        state: { ...state, holdRemovalsUntilMs: Infinity },
        effects: [],
      };
    case 'roster.leavingHeard':
      return event.ids.reduce<RosterStep>(
        (step, id) => chain(step, (now) => markDraining(now, id, event.atMs)),
        { state, effects: [] },
      );
    case 'roster.succeeded':
      return applySuccess(state, event);
    case 'roster.failed':
      return applyFailure(state, event);
    case 'roster.ticked':
      return applyTick(state, event.atMs);
  }
}

/**
 * Lists the targets of a service that may receive new requests.
 *
 * @param state - Current roster.
 * @param service - Service name.
 * @returns The targets of the service that are not draining.
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
  const withHold: RosterState =
    state.holdRemovalsUntilMs === Infinity
      ? { ...state, holdRemovalsUntilMs: atMs + LAPSED_ENTRY_GRACE_MS }
      : state;
  const listedIds = new Set(targets.map((target) => target.id));
  const absentIds = [...state.targets.keys()].filter(
    (id) => !listedIds.has(id),
  );
  const withListed = targets.reduce<RosterStep>(
    (step, target) => chain(step, (now) => upsertTarget(now, target, atMs)),
    { state: withHold, effects: [] },
  );
  return absentIds.reduce<RosterStep>(
    (step, id) => chain(step, (now) => removeTarget(now, id, atMs)),
    withListed,
  );
}

function upsertTarget(
  state: RosterState,
  listed: ListedTarget,
  atMs: number,
): RosterStep {
  const known = state.targets.get(listed.id);
  const restarted = known !== undefined && known.bornMs !== listed.bornMs;
  const wasDraining = state.drainedProcesses.has(processKey(listed));
  const target: RosterTarget = {
    removalDueAtMs: undefined,
    avoidUntilMs: 0,
    failures: 0,
    slowdown: 1,
    idHash: xxHash32(listed.id),
    laneRank: xxHash32(listed.id) / HASH_RANGE,
    ...(restarted ? {} : observationsOf(known)),
    ...listed,
    draining: listed.draining || wasDraining,
  };
  const change = changeOf(known, target, restarted);
  return {
    state: {
      ...state,
      targets: new Map(state.targets).set(target.id, target),
      drainedProcesses: target.draining
        ? new Map(state.drainedProcesses).set(processKey(target), atMs)
        : state.drainedProcesses,
    },
    effects:
      change === undefined ? [] : [rosterChanged(target.id, change, 'listed')],
  };
}

function observationsOf(
  known: RosterTarget | undefined,
): Partial<RosterTarget> {
  if (known === undefined) return {};
  const { avoidUntilMs, failures, slowdown } = known;
  return { avoidUntilMs, failures, slowdown };
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

function removeTarget(
  state: RosterState,
  id: string,
  atMs: number,
): RosterStep {
  const known = state.targets.get(id);
  if (known === undefined) return { state, effects: [] };
  const isHeld = atMs < state.holdRemovalsUntilMs && !known.draining;
  if (!isHeld) return dropTarget(state, known, 'no longer listed');
  if (known.removalDueAtMs !== undefined) return { state, effects: [] };
  const removalDueAtMs = Number.isFinite(state.holdRemovalsUntilMs)
    ? state.holdRemovalsUntilMs
    : Infinity;
  return {
    state: withTarget(state, { ...known, removalDueAtMs }),
    effects: [
      rosterChanged(id, 'held', 'missing from the list after a store outage'),
    ],
  };
}

function dropTarget(
  state: RosterState,
  target: RosterTarget,
  reason: string,
): RosterStep {
  const targets = new Map(state.targets);
  targets.delete(target.id);
  return {
    state: { ...state, targets },
    effects: [rosterChanged(target.id, 'removed', reason)],
  };
}

function markDraining(
  state: RosterState,
  id: string,
  atMs: number,
): RosterStep {
  const known = state.targets.get(id);
  if (known === undefined || known.draining) return { state, effects: [] };
  return upsertTarget(state, { ...known, draining: true }, atMs);
}

function applySuccess(
  state: RosterState,
  event: Extract<RosterEvent, { type: 'roster.succeeded' }>,
): RosterStep {
  const known = state.targets.get(event.id);
  if (known === undefined) return { state, effects: [] };
  const ratio = discountLoadNoise(event.ratio ?? known.slowdown);
  const gain = ratio > known.slowdown ? SLOWER_GAIN : FASTER_GAIN;
  const slowdown = Math.max(
    known.slowdown + gain * (ratio - known.slowdown),
    1,
  );
  return {
    state: withTarget(state, {
      ...known,
      failures: 0,
      avoidUntilMs: 0,
      slowdown,
    }),
    effects: [],
  };
}

/** Ignores a small slowdown, which load explains, and caps a large one. */
function discountLoadNoise(ratio: number): number {
  return ratio < SLOWDOWN_NOISE ? 1 : Math.min(ratio, MAX_SLOWDOWN);
}

function applyFailure(
  state: RosterState,
  event: Extract<RosterEvent, { type: 'roster.failed' }>,
): RosterStep {
  const known = state.targets.get(event.id);
  if (known === undefined) return { state, effects: [] };
  const failures = event.cause === 'slow' ? known.failures : known.failures + 1;
  const durationMs = avoidDurationMs(event.cause, failures);
  return {
    state: withTarget(state, {
      ...known,
      failures,
      avoidUntilMs: event.atMs + durationMs,
    }),
    effects: [rosterChanged(event.id, 'avoided', event.reason)],
  };
}

function avoidDurationMs(cause: FailureCause, failures: number): number {
  switch (cause) {
    case 'slow':
      return SLOW_AVOID_MS;
    case 'replaced':
      return MAX_AVOID_MS;
    case 'broken':
      return Math.min(INITIAL_AVOID_MS * 2 ** (failures - 1), MAX_AVOID_MS);
  }
}

function applyTick(state: RosterState, atMs: number): RosterStep {
  const expired = [...state.targets.values()].filter(
    (target) =>
      target.removalDueAtMs !== undefined &&
      atMs >= Math.min(target.removalDueAtMs, state.holdRemovalsUntilMs),
  );
  const unexpired = new Map(
    [...state.drainedProcesses].filter(
      ([, sinceMs]) => atMs - sinceMs < DRAINED_RETENTION_MS,
    ),
  );
  const remaining =
    unexpired.size === state.drainedProcesses.size
      ? state.drainedProcesses
      : unexpired;
  return expired.reduce<RosterStep>(
    (step, target) =>
      chain(step, (now) =>
        dropTarget(now, target, 'still missing after the store outage'),
      ),
    { state: { ...state, drainedProcesses: remaining }, effects: [] },
  );
}

function withTarget(state: RosterState, target: RosterTarget): RosterState {
  return { ...state, targets: new Map(state.targets).set(target.id, target) };
}

/** Identifies a process: after a restart, the same id is another process. */
function processKey(target: ListedTarget): string {
  return `${target.id}@${target.bornMs}`;
}

function rosterChanged(
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
