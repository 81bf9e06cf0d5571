import type { ListedTarget } from '@endivegate/contracts/forwarding';
import { xxHash32 } from 'js-xxhash';
import { applyFailure, applyPause, applySuccess } from './_lib/observations.ts';
import { forgetRemovals, isOutdated } from './_lib/removalFacts.ts';
import {
  applyReports,
  dropDue,
  LAPSED_ENTRY_GRACE_MS,
  removeTarget,
  restartHold,
} from './_lib/removals/index.ts';
import { chain, processKey, rosterChanged, withTarget } from './_lib/steps.ts';
import type {
  RosterEffect,
  RosterEvent,
  RosterState,
  RosterStep,
  RosterTarget,
  TargetProcess,
} from './types.ts';

export { removalReports } from './_lib/removalFacts.ts';
export { heldRemovals, LAPSED_ENTRY_GRACE_MS } from './_lib/removals/index.ts';
export { processKey } from './_lib/steps.ts';
export type * from './types.ts';

/** Time after a restore within which the platform removes the list entries of
 * servers that are gone: three silent heartbeats of 1.2 s, and a margin. */
export const REMNANT_LIFETIME_MS = 5000;

/** Time for which processes that are no longer listed are remembered. */
const PROCESS_RETENTION_MS = 60_000;

const HASH_RANGE = 2 ** 32;

/** Roster before the first list is read. */
export const initialRoster: RosterState = {
  targets: new Map(),
  holdRemovalsUntilMs: 0,
  drainedProcesses: new Map(),
  goneProcesses: new Map(),
  remnantsUntilMs: 0,
  followedSinceMs: undefined,
  era: undefined,
  removals: new Map(),
};

/**
 * Maintains the list of targets and the observations of each.
 *
 * A draining process is never selected again. A target that is missing from the
 * list after a store outage is kept for {@link LAPSED_ENTRY_GRACE_MS}, because
 * live targets renew their lapsed list entries within this time. It is not kept if a
 * peer reports its removal that followed the store all along: then only this entry
 * lost the store.
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
      return applyList(state, event);
    case 'roster.put':
      return upsertTarget(state, event.target, event.atMs);
    case 'roster.removed':
      return removeTarget(state, event);
    case 'roster.followed': {
      const { followedSinceMs = event.atMs } = state;
      return { state: { ...state, followedSinceMs }, effects: [] };
    }
    case 'roster.interrupted':
      return { state: { ...state, followedSinceMs: undefined }, effects: [] };
    case 'roster.removalsReported':
      return applyReports(state, event);
    case 'roster.storeLost':
      return {
        state: {
          ...restartHold(state, event.atMs),
          holdRemovalsUntilMs: Infinity,
          followedSinceMs: undefined,
        },
        effects: [],
      };
    case 'roster.storeRestored':
      return {
        state: {
          ...state,
          holdRemovalsUntilMs: Infinity,
          followedSinceMs: undefined,
          remnantsUntilMs: event.atMs + REMNANT_LIFETIME_MS,
        },
        effects: [],
      };
    case 'roster.removalsHeld':
      return {
        state: {
          ...state,
          holdRemovalsUntilMs: Math.max(
            state.holdRemovalsUntilMs === Infinity
              ? 0
              : state.holdRemovalsUntilMs,
            event.untilMs,
          ),
        },
        effects: [],
      };
    case 'roster.holdEnded':
      return {
        state: {
          ...state,
          holdRemovalsUntilMs: Math.min(state.holdRemovalsUntilMs, event.atMs),
        },
        effects: [],
      };
    case 'roster.leavingAnnounced':
      return markDraining(state, event, 'announced in a response', event.atMs);
    case 'roster.leavingHeard':
      return event.processes.reduce<RosterStep>(
        (step, process) =>
          chain(step, (now) =>
            markDraining(now, process, 'reported by a peer', event.atMs),
          ),
        { state, effects: [] },
      );
    case 'roster.pauseRequested':
      return applyPause(state, event);
    case 'roster.succeeded':
      return applySuccess(state, event);
    case 'roster.failed':
      return applyFailure(state, event);
    case 'roster.ticked':
      return applyTick(state, event.atMs);
  }
}

function applyList(
  state: RosterState,
  { targets, at, atMs }: Extract<RosterEvent, { type: 'roster.listed' }>,
): RosterStep {
  const withHold: RosterState = {
    ...state,
    holdRemovalsUntilMs:
      state.holdRemovalsUntilMs === Infinity
        ? atMs + LAPSED_ENTRY_GRACE_MS
        : state.holdRemovalsUntilMs,
    era: at?.era ?? state.era,
  };
  const listedIds = new Set(targets.map((target) => target.id));
  const absentIds = [...state.targets.keys()].filter(
    (id) => !listedIds.has(id),
  );
  const withListed = targets.reduce<RosterStep>(
    (step, target) => chain(step, (now) => upsertListed(now, target, atMs)),
    { state: withHold, effects: [] },
  );
  return absentIds.reduce<RosterStep>(
    (step, id) => chain(step, (now) => removeTarget(now, { id, atMs, at })),
    withListed,
  );
}

/**
 * Takes a target from a list. Right after the store was restored from an older
 * copy, the list may name processes that are gone. Such a process is used again
 * only when its entry is written, or outlives the remnants.
 */
function upsertListed(
  state: RosterState,
  listed: ListedTarget,
  atMs: number,
): RosterStep {
  const known = state.targets.get(listed.id);
  const isUnconfirmed =
    known?.bornMs === listed.bornMs && known.unconfirmedUntilMs > atMs;
  const wasGone = state.goneProcesses.has(processKey(listed));
  const mayBeRemnant =
    atMs < state.remnantsUntilMs && (wasGone || isUnconfirmed);
  if (!mayBeRemnant) return upsertTarget(state, listed, atMs);
  const { state: next } = upsertTarget(state, listed, atMs);
  const target = next.targets.get(listed.id);
  if (target === undefined) return { state, effects: [] };
  return {
    state: withTarget(next, {
      ...target,
      unconfirmedUntilMs: state.remnantsUntilMs,
    }),
    effects: [
      rosterChanged(
        listed.id,
        'unconfirmed',
        'was gone before the store was restored',
      ),
    ],
  };
}

function upsertTarget(
  state: RosterState,
  listed: ListedTarget,
  atMs: number,
  reason = 'listed',
): RosterStep {
  if (isOutdated(state, listed)) return { state, effects: [] };
  const known = state.targets.get(listed.id);
  const restarted = known !== undefined && known.bornMs !== listed.bornMs;
  const wasDraining = state.drainedProcesses.has(processKey(listed));
  const target: RosterTarget = {
    removalDueAtMs: undefined,
    unconfirmedUntilMs: 0,
    avoidUntilMs: 0,
    pausedUntilMs: 0,
    failures: 0,
    slowdown: 1,
    idHash: xxHash32(listed.id),
    laneRank: xxHash32(listed.id) / HASH_RANGE,
    ...(restarted ? {} : observationsOf(known)),
    ...listed,
    ...((listed.warmUpLeftMs ?? 0) > 0 ? { listedAtMs: atMs } : {}),
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
      goneProcesses: withoutKey(state.goneProcesses, processKey(target)),
      removals: withoutKey(state.removals, processKey(target)),
    },
    effects:
      change === undefined ? [] : [rosterChanged(target.id, change, reason)],
  };
}

function withoutKey<T>(
  map: ReadonlyMap<string, T>,
  key: string,
): ReadonlyMap<string, T> {
  return map.has(key)
    ? new Map([...map].filter(([other]) => other !== key))
    : map;
}

function observationsOf(
  known: RosterTarget | undefined,
): Partial<RosterTarget> {
  if (known === undefined) return {};
  const { avoidUntilMs, pausedUntilMs, failures, slowdown } = known;
  return { avoidUntilMs, pausedUntilMs, failures, slowdown };
}

function changeOf(
  known: RosterTarget | undefined,
  next: RosterTarget,
  restarted: boolean,
): Extract<RosterEffect, { type: 'roster.changed' }>['change'] | undefined {
  if (known === undefined) return 'added';
  if (restarted) return 'restarted';
  return next.draining && !known.draining ? 'draining' : undefined;
}

/**
 * Marks a process as draining. A process that is not listed is remembered, as
 * its entry may arrive later.
 */
function markDraining(
  state: RosterState,
  process: TargetProcess,
  reason: string,
  atMs: number,
): RosterStep {
  const known = state.targets.get(process.id);
  if (known?.bornMs !== process.bornMs) {
    const drainedProcesses = new Map(state.drainedProcesses).set(
      processKey(process),
      atMs,
    );
    return { state: { ...state, drainedProcesses }, effects: [] };
  }
  if (known.draining) return { state, effects: [] };
  return upsertTarget(state, { ...known, draining: true }, atMs, reason);
}

function applyTick(state: RosterState, atMs: number): RosterStep {
  const isListed = (key: string): boolean =>
    [...state.targets.values()].some((target) => processKey(target) === key);
  const forget = (
    processes: ReadonlyMap<string, number>,
  ): ReadonlyMap<string, number> => {
    const kept = [...processes].filter(
      ([key, sinceMs]) =>
        atMs - sinceMs < PROCESS_RETENTION_MS || isListed(key),
    );
    return kept.length === processes.size ? processes : new Map(kept);
  };
  return dropDue(
    {
      ...state,
      drainedProcesses: forget(state.drainedProcesses),
      goneProcesses: forget(state.goneProcesses),
      removals: forgetRemovals(state.removals, atMs),
    },
    atMs,
  );
}
