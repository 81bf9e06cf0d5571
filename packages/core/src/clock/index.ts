import type { Slice } from '../slice/index.ts';
import { unchanged } from '../step/index.ts';

/** What the entry knows of its own time. */
export interface ClockState {
  readonly startedAtMs: number;
  readonly nowMs: number;
}

/** Effect of a tick that came much later than the one before it. */
export interface ClockPauseEffect {
  readonly type: 'clock.pauseSeen';
  readonly pausedMs: number;
}

/** Gap between two ticks from which the entry counts as having been paused. */
export const PAUSE_THRESHOLD_MS = 1_000;

/** Keeps the time of the last tick and reports pauses of the process. */
export const clockSlice: Slice<ClockState, never, ClockPauseEffect> = {
  initial: { startedAtMs: 0, nowMs: 0 },
  reduce: (state, event) => {
    if (event.type === 'entry.started') {
      return {
        state: { startedAtMs: event.atMs, nowMs: event.atMs },
        effects: [],
      };
    }
    if (event.type !== 'clock.ticked') return unchanged(state);
    const pausedMs = event.atMs - state.nowMs;
    return {
      state: { ...state, nowMs: event.atMs },
      effects:
        pausedMs < PAUSE_THRESHOLD_MS
          ? []
          : [{ type: 'clock.pauseSeen', pausedMs }],
    };
  },
};
