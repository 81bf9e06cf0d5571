import { bucketValues, getEntry } from '../../bucketMap/index.ts';
import { chainSteps } from '../../chainSteps/index.ts';
import type { EventBase } from '../../events/index.ts';
import {
  putEffect,
  readEffect,
  recordOutcome,
  removeClaim,
  updateClaim,
} from './claimSteps.ts';
import { CLAIM_SHARDS, SWEEP_PERIOD_MS } from './constants.ts';
import { readBack, refuseAfterSendWindow, retryCreate } from './ownClaim.ts';
import { pickByRendezvous } from './pickByRendezvous.ts';
import type { OnceState, OnceStep, OpenClaim } from './types.ts';

/**
 * Does what is due on a clock tick: retries store calls, gives up on claims
 * that took too long and sweeps a shard.
 *
 * @param state - State of the slice.
 * @param event - The clock tick.
 * @returns The step.
 */
export function handleTick(state: OnceState, event: EventBase): OnceStep {
  const due = bucketValues(state.openClaims).map(
    ({ request }) =>
      (current: OnceState): OnceStep => {
        const openClaim = getEntry(current.openClaims, request.requestId);
        return openClaim === undefined
          ? { state: current, effects: [] }
          : tickClaim(current, openClaim, event);
      },
  );
  return chainSteps(state, [
    ...due,
    (current) => sweepNextShard(current, event),
  ]);
}

function tickClaim(
  state: OnceState,
  openClaim: OpenClaim,
  event: EventBase,
): OnceStep {
  const { atMs } = event;
  if (
    isCreationPending(openClaim) &&
    !openClaim.abandoned &&
    atMs > openClaim.sendByMs
  ) {
    return refuseAfterSendWindow(state, openClaim, event);
  }
  if (openClaim.phase === 'held' && atMs > openClaim.giveUpAtMs) {
    const outcome = { type: 'unknown', reason: 'no answer' } as const;
    return recordOutcome(state, openClaim, { event, outcome });
  }
  if (atMs < openClaim.dueAtMs) return { state, effects: [] };
  switch (openClaim.phase) {
    case 'createRetryPending':
      return retryCreate(state, openClaim);
    case 'readBackRetryPending':
      return atMs > openClaim.giveUpAtMs
        ? removeClaim(state, openClaim)
        : readBack(state, openClaim);
    case 'recordRetryPending':
      return atMs > openClaim.giveUpAtMs
        ? removeClaim(state, openClaim)
        : retryRecord(state, openClaim);
    case 'waiting':
      return updateClaim(state, { ...openClaim, phase: 'reading' }, [
        readEffect(openClaim),
      ]);
    default:
      return { state, effects: [] };
  }
}

/** Whether it is not yet known if the store accepted this request's claim. */
function isCreationPending(openClaim: OpenClaim): boolean {
  return [
    'creating',
    'createRetryPending',
    'readingBack',
    'readBackRetryPending',
  ].includes(openClaim.phase);
}

function retryRecord(state: OnceState, openClaim: OpenClaim): OnceStep {
  const recording: OpenClaim = { ...openClaim, phase: 'recording' };
  return updateClaim(state, recording, [putEffect(state, recording)]);
}

/** Moves to the next shard when it is due, and sweeps it if this entry owns it. */
function sweepNextShard(state: OnceState, event: EventBase): OnceStep {
  if (event.atMs < state.nextSweepAtMs || state.self === undefined) {
    return { state, effects: [] };
  }
  const shard = state.nextSweepShard;
  const next: OnceState = {
    ...state,
    nextSweepAtMs: event.atMs + SWEEP_PERIOD_MS,
    nextSweepShard: (shard + 1) % CLAIM_SHARDS,
  };
  const owner = pickByRendezvous(`claims/${shard}`, [...state.live.keys()]);
  return {
    state: next,
    effects:
      owner === state.self.entryId ? [{ type: 'once.sweep', shard }] : [],
  };
}
