import type {
  FailureCause,
  RosterEvent,
  RosterState,
  RosterStep,
} from '../types.ts';
import { rosterChanged, withTarget } from './steps.ts';

/** Time to avoid a target after its first failure; it doubles with each
 * consecutive failure. */
const INITIAL_AVOID_MS = 400;

/** Time to avoid a target after a silence that may be due to load: a few passes. */
const SLOW_AVOID_MS = 300;

/** Longest time to avoid a target, so that a recovered target is used again
 * within it. */
const MAX_AVOID_MS = 4000;

/** Smoothing weights of an observation slower or faster than the current value.
 * The weight of a slower one is higher, to detect a slow target within a few
 * streams. */
const SLOWER_GAIN = 0.4;
const FASTER_GAIN = 0.2;
const MAX_SLOWDOWN = 20;

/** Longest pause that a target may ask for; one beyond it is taken for an error. */
const MAX_PAUSE_MS = 600_000;

/** Ratios below this are attributed to load and count as 1. */
const SLOWDOWN_NOISE = 1.6;

/** Records a served request and the observed speed. */
export function applySuccess(
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

/** Avoids a target after a failure. */
export function applyFailure(
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

/**
 * Observes a pause that a target asked for. A later request may extend the
 * pause but not shorten it.
 */
export function applyPause(
  state: RosterState,
  event: Extract<RosterEvent, { type: 'roster.pauseRequested' }>,
): RosterStep {
  const known = state.targets.get(event.id);
  if (known?.bornMs !== event.bornMs) return { state, effects: [] };
  const pauseMs = Math.min(event.pauseMs, MAX_PAUSE_MS);
  const pausedUntilMs = Math.max(known.pausedUntilMs, event.atMs + pauseMs);
  return {
    state: withTarget(state, { ...known, pausedUntilMs }),
    effects: [
      {
        type: 'roster.paused',
        id: event.id,
        pauseMs,
        requestedMs: event.pauseMs,
      },
    ],
  };
}
