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
  /** All requests have ended. */
  | 'drained'
  /** The drain timeout expired while requests were still open. */
  | 'drainTimedOut'
  /** A second stop request arrived. */
  | 'toldTwice';

/** State of the leaving slice. */
export interface LeavingState {
  readonly phase: 'running' | 'leaving' | 'finished';
  readonly nowMs: number;
  readonly requestedAtMs: number;
  readonly openRequestIds: BucketMap<string>;
  /** Answers that callers have not received in full, relayed ones included. */
  readonly openAnswers: number;
  readonly selfId: string;
  /** Whether another live entry can take new requests. */
  readonly hasPeers: boolean;
  /**
   * Time for which the entry stays reachable for callers that still use a cached
   * entry list.
   */
  readonly lingerMs: number;
  /** Time after which requests that are still open are cut off. */
  readonly drainTimeoutMs: number;
}

/** Events of the leaving slice. */
export type LeavingEvent = EventBase &
  (
    | {
        readonly type: 'leaving.configured';
        readonly lingerMs: number;
        readonly drainTimeoutMs: number;
      }
    /** The number of answers that callers have not received in full. */
    | {
        readonly type: 'leaving.answersCounted';
        readonly openAnswers: number;
      }
  );

/** Effects of the leaving slice. */
export interface LeavingEffect {
  readonly type: 'leaving.exit';
  readonly reason: ExitReason;
  /** Requests that the exit cuts off; empty after a complete drain. */
  readonly openRequestIds: readonly string[];
}

type LeavingStep = Step<LeavingState, LeavingEffect | RaiseEffect>;

/** Time within which gossip tells every other member that an entry is leaving. */
export const LEAVING_PROPAGATION_MS = 3_000;

const initial: LeavingState = {
  phase: 'running',
  nowMs: 0,
  requestedAtMs: 0,
  openRequestIds: emptyBucketMap(),
  openAnswers: 0,
  selfId: '',
  hasPeers: false,
  lingerMs: LEAVING_PROPAGATION_MS,
  drainTimeoutMs: 600_000,
};

/**
 * Shuts an entry down gracefully, without cutting off requests.
 *
 * As soon as the entry is told to stop, new requests are relayed to another
 * entry or refused. The process exits when all requests have ended, callers have
 * received all answers, relayed ones included, and the linger time has passed, in
 * which callers refresh their cached entry lists. It also exits when the drain timeout
 * expires, and immediately on a second stop request.
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
          lingerMs: Math.max(LEAVING_PROPAGATION_MS, event.lingerMs),
          drainTimeoutMs: event.drainTimeoutMs,
        });
      case 'leaving.answersCounted':
        return unchanged({ ...state, openAnswers: event.openAnswers });
      case 'request.received':
        return unchanged(addOpenRequest(state, event.request.requestId));
      case 'request.ended':
      case 'request.refused':
        return unchanged(removeOpenRequest(state, event.requestId));
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

function addOpenRequest(state: LeavingState, requestId: string): LeavingState {
  const openRequestIds = setEntry(state.openRequestIds, requestId, requestId);
  return { ...state, openRequestIds };
}

function removeOpenRequest(
  state: LeavingState,
  requestId: string,
): LeavingState {
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
  // Without another live entry, late requests cannot be relayed.
  const lingerMs = state.hasPeers ? state.lingerMs : 0;
  const hasEnded = state.openRequestIds.size === 0 && state.openAnswers === 0;
  if (elapsedMs >= lingerMs && hasEnded) {
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
