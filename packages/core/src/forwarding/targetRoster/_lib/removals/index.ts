import type {
  HeldRemovals,
  ListPosition,
  RosterEvent,
  RosterState,
  RosterStep,
  RosterTarget,
} from '../../types.ts';
import {
  isWrittenAfter,
  withOwnRemoval,
  withReportedRemoval,
} from '../removalFacts.ts';
import { chain, processKey, rosterChanged, withTarget } from '../steps.ts';

/** Time within which live targets renew their lapsed list entries after a store
 * outage. */
export const LAPSED_ENTRY_GRACE_MS = 2300;

/**
 * Removes a target that is not listed any more, or holds its removal while its entry may
 * only have lapsed.
 */
export function removeTarget(
  state: RosterState,
  removed: {
    readonly id: string;
    readonly atMs: number;
    readonly at?: ListPosition | undefined;
  },
): RosterStep {
  const { id, atMs, at } = removed;
  const known = state.targets.get(id);
  if (known === undefined) return { state, effects: [] };
  const isHeld =
    atMs < state.holdRemovalsUntilMs &&
    !known.draining &&
    !state.removals.has(processKey(known));
  if (!isHeld) {
    const step = dropTarget(state, known, 'no longer listed', atMs);
    return reportRemoval(step, { ...known, missingAt: at }, atMs);
  }
  const { missingSinceMs = atMs, removalDueAtMs: dueAtMs = Infinity } = known;
  const held = {
    ...{ ...known, missingSinceMs, missingAt: at },
    removalDueAtMs: Math.min(dueAtMs, state.holdRemovalsUntilMs),
  };
  if (known.removalDueAtMs !== undefined) {
    return { state: withTarget(state, held), effects: [] };
  }
  return {
    state: withTarget(state, held),
    effects: [
      rosterChanged(id, 'held', 'missing from the list after a store outage'),
    ],
  };
}

/**
 * Lets a hold that has not ended begin anew with the next list: while the store cannot be
 * read, live targets cannot be seen to be back.
 */
export function restartHold(state: RosterState, atMs: number): RosterState {
  if (atMs >= state.holdRemovalsUntilMs) return state;
  const targets = [...state.targets].map(([id, target]) =>
    target.removalDueAtMs === undefined
      ? ([id, target] as const)
      : ([id, { ...target, removalDueAtMs: Infinity }] as const),
  );
  return {
    ...state,
    holdRemovalsUntilMs: Infinity,
    targets: new Map(targets),
  };
}

/** Removes the targets whose removal was held until now. */
export function dropDue(state: RosterState, atMs: number): RosterStep {
  return [...state.targets.values()]
    .filter(
      ({ removalDueAtMs }) =>
        removalDueAtMs !== undefined &&
        atMs >= Math.min(removalDueAtMs, state.holdRemovalsUntilMs),
    )
    .reduce<RosterStep>(
      (step, target) =>
        chain(step, (now) =>
          reportRemoval(
            dropTarget(
              now,
              target,
              'still missing after the store outage',
              atMs,
            ),
            target,
            atMs,
          ),
        ),
      { state, effects: [] },
    );
}

/**
 * Drops processes whose removal a peer reports, unless their entries were written later.
 */
export function applyReports(
  state: RosterState,
  event: Extract<RosterEvent, { type: 'roster.removalsReported' }>,
): RosterStep {
  return event.removals.reduce<RosterStep>(
    (step, removal) =>
      chain(step, (now) => {
        const known = now.targets.get(removal.id);
        const isSame = known?.bornMs === removal.bornMs;
        if (isSame && isWrittenAfter(known, removal, now.era)) {
          return { state: now, effects: [] };
        }
        const next = withReportedRemoval(now, removal, event);
        return isSame
          ? dropTarget(next, known, 'removal reported by a peer', event.atMs)
          : { state: next, effects: [] };
      }),
    { state, effects: [] },
  );
}

/**
 * Counts the targets that are missing from the list and still in use.
 *
 * @param state - The roster.
 * @param nowMs - Current monotonic time.
 * @returns Their number, and the age of the oldest held removal in ms.
 *
 * @example
 * heldRemovals(state.roster, performance.now()).targets;
 */
export function heldRemovals(state: RosterState, nowMs: number): HeldRemovals {
  const agesMs = [...state.targets.values()]
    .filter((target) => target.missingSinceMs !== undefined)
    .map(({ missingSinceMs = nowMs }) => nowMs - missingSinceMs);
  return { targets: agesMs.length, oldestMs: Math.max(0, ...agesMs) };
}

function dropTarget(
  state: RosterState,
  target: RosterTarget,
  reason: string,
  atMs: number,
): RosterStep {
  const targets = new Map(state.targets);
  targets.delete(target.id);
  const { missingSinceMs = atMs } = target;
  return {
    state: {
      ...state,
      targets,
      goneProcesses: new Map(state.goneProcesses).set(processKey(target), atMs),
    },
    effects: [
      {
        ...rosterChanged(target.id, 'removed', reason),
        heldMs: atMs - missingSinceMs,
      },
    ],
  };
}

/**
 * Reports a removal to peers if this entry has followed the store for long enough to know
 * that the target's entry did not lapse in an outage.
 */
function reportRemoval(
  step: RosterStep,
  target: RosterTarget,
  atMs: number,
): RosterStep {
  const { followedSinceMs = Infinity } = step.state;
  const { missingAt: at } = target;
  if (at === undefined || atMs - followedSinceMs < LAPSED_ENTRY_GRACE_MS) {
    return step;
  }
  return {
    state: withOwnRemoval(step.state, { ...target, at }, atMs),
    effects: [...step.effects, { type: 'roster.removalReportDue' }],
  };
}
