import { bucketValues, getEntry } from '../../bucketMap/index.ts';
import { chainSteps } from '../../chainSteps/index.ts';
import type { EventBase } from '../../events/index.ts';
import { pickHighest } from './sweep.ts';
import { CLAIM_SHARDS, SWEEP_PERIOD_MS } from './constants.ts';
import { readBack, refuseLate, rewrite } from './ownClaim.ts';
import { drop, keep, putEffect, readEffect, record } from './work.ts';
import type { OnceState, OnceStep, OpenClaim } from './types.ts';

/**
 * Does what is due: reads and writes again, gives up, sweeps a shard.
 *
 * @param state - State of the slice.
 * @param event - The pulse.
 * @returns The step.
 */
export function pulse(state: OnceState, event: EventBase): OnceStep {
  const due = bucketValues(state.open).map(
    ({ request }) =>
      (current: OnceState): OnceStep => {
        const work = getEntry(current.open, request.requestId);
        return work === undefined
          ? { state: current, effects: [] }
          : pulseClaim(current, work, event);
      },
  );
  return chainSteps(state, [...due, (current) => sweepDue(current, event)]);
}

function pulseClaim(
  state: OnceState,
  work: OpenClaim,
  event: EventBase,
): OnceStep {
  const { atMs } = event;
  if (isQuestioned(work) && !work.abandoned && atMs > work.sendByMs) {
    return refuseLate(state, work, event);
  }
  if (work.phase === 'held' && atMs > work.giveUpAtMs) {
    const outcome = { type: 'unknown', reason: 'no answer' } as const;
    return record(state, work, { event, outcome });
  }
  if (atMs < work.nextAtMs) return { state, effects: [] };
  switch (work.phase) {
    case 'creatingLater':
      return rewrite(state, work);
    case 'readingBackLater':
      return atMs > work.giveUpAtMs ? drop(state, work) : readBack(state, work);
    case 'recordingLater':
      return atMs > work.giveUpAtMs
        ? drop(state, work)
        : writeAgain(state, work);
    case 'waiting':
      return keep(state, { ...work, phase: 'reading' }, [readEffect(work)]);
    default:
      return { state, effects: [] };
  }
}

/** Whether it is open if the store has given the right to send. */
function isQuestioned(work: OpenClaim): boolean {
  return [
    'creating',
    'creatingLater',
    'readingBack',
    'readingBackLater',
  ].includes(work.phase);
}

function writeAgain(state: OnceState, work: OpenClaim): OnceStep {
  const recording: OpenClaim = { ...work, phase: 'recording' };
  return keep(state, recording, [putEffect(state, recording)]);
}

/** Every entry walks through all shards and sweeps those that it owns. */
function sweepDue(state: OnceState, event: EventBase): OnceStep {
  if (event.atMs < state.nextSweepAtMs || state.self === undefined) {
    return { state, effects: [] };
  }
  const shard = state.nextShard;
  const next: OnceState = {
    ...state,
    nextSweepAtMs: event.atMs + SWEEP_PERIOD_MS,
    nextShard: (shard + 1) % CLAIM_SHARDS,
  };
  const owner = pickHighest(`claims/${shard}`, [...state.live.keys()]);
  return {
    state: next,
    effects:
      owner === state.self.entryId ? [{ type: 'once.sweep', shard }] : [],
  };
}
