import {
  type BucketMap,
  bucketValues,
  deleteEntry,
  emptyBucketMap,
  setEntry,
} from '../bucketMap/index.ts';
import type { EventBase } from '../events/index.ts';
import type { RaiseEffect, Slice } from '../slice/index.ts';
import { unchanged, type Step } from '../step/index.ts';

/** Why the process exits. */
export type ExitReason =
  /** Every request has ended. */
  | 'drained'
  /** Requests were still open at the end of the drain time. */
  | 'drainTimedOut'
  /** The entry was told to stop a second time. */
  | 'toldTwice';

/** State of the leaving slice. */
export interface LeavingState {
  readonly phase: 'running' | 'leaving' | 'finished';
  readonly nowMs: number;
  readonly requestedAtMs: number;
  readonly openRequestIds: BucketMap<string>;
  readonly selfId: string;
  /** Whether another live entry can take new requests. */
  readonly hasPeers: boolean;
  /** Time to stay reachable for callers that keep an old answer. */
  readonly lingerMs: number;
  /** Time for open requests to end before they are cut. */
  readonly drainTimeoutMs: number;
}

/** Events of the leaving slice. */
export type LeavingEvent = EventBase & {
  readonly type: 'leaving.configured';
  readonly lingerMs: number;
  readonly drainTimeoutMs: number;
};

/** Effects of the leaving slice. */
export interface LeavingEffect {
  readonly type: 'leaving.exit';
  readonly reason: ExitReason;
  /** Requests that the exit cuts off; none after a drain. */
  readonly openRequestIds: readonly string[];
}

type LeavingStep = Step<LeavingState, LeavingEffect | RaiseEffect>;

/** Time within which every other member learns that an entry leaves. */
export const LEAVING_SPREAD_MS = 3_000;

const initial: LeavingState = {
  phase: 'running',
  nowMs: 0,
  requestedAtMs: 0,
  openRequestIds: emptyBucketMap(),
  selfId: '',
  hasPeers: false,
  lingerMs: LEAVING_SPREAD_MS,
  drainTimeoutMs: 600_000,
};

/**
 * Takes an entry out of service without cutting off a request.
 *
 * From the request to leave on, new requests are relayed or refused. The
 * process exits when every request has ended and callers that keep an old
 * answer had the time to ask again, or at the end of the drain time, or at
 * once when it is told a second time.
 */
export const leavingSlice: Slice<LeavingState, LeavingEvent, LeavingEffect> = {
  initial,
  reduce: (state, event) => {
    switch (event.type) {
      case 'entry.started':
        return unchanged({ ...state, selfId: event.self.entryId });
      case 'leaving.configured':
        return unchanged({
          ...state,
          lingerMs: Math.max(LEAVING_SPREAD_MS, event.lingerMs),
          drainTimeoutMs: event.drainTimeoutMs,
        });
      case 'request.received':
        return unchanged(withOpen(state, event.request.requestId));
      case 'request.ended':
      case 'request.refused':
        return unchanged(withoutOpen(state, event.requestId));
      case 'members.changed':
        return unchanged({
          ...state,
          hasPeers: event.live.some(({ entryId }) => entryId !== state.selfId),
        });
      case 'leaving.requested':
        return requestLeaving(state, event);
      case 'clock.ticked':
        return tick(state, event);
      default:
        return unchanged(state);
    }
  },
};

function withOpen(state: LeavingState, requestId: string): LeavingState {
  const openRequestIds = setEntry(state.openRequestIds, requestId, requestId);
  return { ...state, openRequestIds };
}

function withoutOpen(state: LeavingState, requestId: string): LeavingState {
  const openRequestIds = deleteEntry(state.openRequestIds, requestId);
  if (openRequestIds === state.openRequestIds) return state;
  return { ...state, openRequestIds };
}

function requestLeaving(state: LeavingState, event: EventBase): LeavingStep {
  if (state.phase === 'finished') return unchanged(state);
  if (state.phase === 'leaving') return exit(state, event, 'toldTwice');
  return unchanged({
    ...state,
    phase: 'leaving',
    nowMs: event.atMs,
    requestedAtMs: event.atMs,
  });
}

function tick(state: LeavingState, event: EventBase): LeavingStep {
  if (state.phase !== 'leaving') return unchanged(state);
  const next = { ...state, nowMs: event.atMs };
  const elapsedMs = event.atMs - state.requestedAtMs;
  if (elapsedMs >= state.drainTimeoutMs) {
    return exit(next, event, 'drainTimedOut');
  }
  // Without another entry there is nobody to relay late requests to.
  const lingerMs = state.hasPeers ? state.lingerMs : 0;
  if (elapsedMs >= lingerMs && state.openRequestIds.size === 0) {
    return exit(next, event, 'drained');
  }
  return unchanged(next);
}

function exit(
  state: LeavingState,
  event: EventBase,
  reason: ExitReason,
): LeavingStep {
  const { atMs, random } = event;
  return {
    state: { ...state, phase: 'finished' },
    effects: [
      { type: 'raise', event: { type: 'leaving.finished', atMs, random } },
      {
        type: 'leaving.exit',
        reason,
        openRequestIds: bucketValues(state.openRequestIds),
      },
    ],
  };
}
