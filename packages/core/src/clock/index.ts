import type { Slice } from '../slice/index.ts';
import { unchanged } from '../step/index.ts';

/** Start time and time of the last tick, by the entry's monotonic clock. */
export interface ClockState {
  readonly startedAtMs: number;
  readonly nowMs: number;
}

/** Effect of a tick that came much later than the previous one. */
export interface ClockPauseEffect {
  readonly type: 'clock.pauseDetected';
  readonly pausedMs: number;
}

/** Minimum gap between two ticks that is treated as a pause of the process. */
export const PAUSE_THRESHOLD_MS = 1_000;

/** Records the time of the last tick and reports pauses of the process. */
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
          : [{ type: 'clock.pauseDetected', pausedMs }],
    };
  },
};
