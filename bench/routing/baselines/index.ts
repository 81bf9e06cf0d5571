import type { Target } from '@endivegate/contracts';
import type {
  EventBase,
  RaiseEffect,
  RequestInfo,
  SharedEvent,
  Slice,
  Step,
} from '@endivegate/core';

/** Information on which a baseline policy bases its choice. */
export interface ChoiceContext {
  /** Requests that this entry has in flight at a target. */
  readonly inFlightAt: (targetId: string) => number;
  /** Number of choices that this entry has made so far. */
  readonly choices: number;
  /** Uniform in [0, 1). */
  readonly random: number;
}

/** Chooses one of the candidates; returns undefined if there are none. */
export type ChooseTarget = (
  candidates: readonly Target[],
  context: ChoiceContext,
) => Target | undefined;

/** Chooses every target with equal probability. */
export const chooseRandom: ChooseTarget = (candidates, { random }) =>
  candidates[Math.floor(random * candidates.length)];

/** Chooses the targets in turn. */
export const chooseRoundRobin: ChooseTarget = (candidates, { choices }) =>
  candidates[choices % candidates.length];

/**
 * Chooses the target with the fewest in-flight requests of this entry; breaks
 * ties at random.
 */
export const chooseLeastInFlight: ChooseTarget = (candidates, context) => {
  const fewest = Math.min(
    ...candidates.map((target) => context.inFlightAt(target.targetId)),
  );
  const best = candidates.filter(
    (target) => context.inFlightAt(target.targetId) === fewest,
  );
  return best[Math.floor(context.random * best.length)];
};

interface BaselineState {
  readonly targets: readonly Target[];
  readonly requests: ReadonlyMap<string, RequestInfo>;
  readonly targetOf: ReadonlyMap<string, string>;
  readonly choices: number;
}

type BaselineStep = Step<BaselineState, RaiseEffect>;

/**
 * Creates a replacement for the `routing` slice that dispatches each request
 * immediately, without a queue.
 *
 * @param choose - Chooses among the serving targets.
 * @returns The slice.
 */
export function createBaselineSlice(
  choose: ChooseTarget,
): Slice<BaselineState, never, never> {
  function dispatch(
    state: BaselineState,
    stamp: EventBase,
    request: RequestInfo,
    excluded: readonly string[],
  ): BaselineStep {
    const { requestId } = request;
    const { atMs, random } = stamp;
    const busyTargetIds = [...state.targetOf.values()];
    const candidates = state.targets.filter(
      (target) =>
        !target.leaving &&
        target.serves.includes(request.service) &&
        !excluded.includes(target.targetId),
    );
    const target = choose(candidates, {
      inFlightAt: (targetId) =>
        busyTargetIds.filter((id) => id === targetId).length,
      choices: state.choices,
      random,
    });
    const requests = new Map(state.requests).set(requestId, request);
    if (!target) {
      const refusal = {
        type: 'request.refused',
        reason: 'targetsRefused',
        retryAfterMs: 1_000,
      } as const;
      return {
        state: { ...state, requests },
        effects: [
          { type: 'raise', event: { ...refusal, atMs, random, requestId } },
        ],
      };
    }
    const { targetId } = target;
    const targetOf = new Map(state.targetOf).set(requestId, targetId);
    return {
      state: { ...state, requests, targetOf, choices: state.choices + 1 },
      effects: [
        {
          type: 'raise',
          event: {
            type: 'request.dispatched',
            atMs,
            random,
            requestId,
            targetId,
            reservationId: undefined,
          },
        },
      ],
    };
  }

  function reduce(state: BaselineState, event: SharedEvent): BaselineStep {
    switch (event.type) {
      case 'targets.changed':
        return { state: { ...state, targets: event.targets }, effects: [] };
      case 'request.arrived':
        return dispatch(state, event, event.request, []);
      case 'request.retryWanted': {
        const request = state.requests.get(event.requestId);
        return request
          ? dispatch(state, event, request, event.excludedTargetIds)
          : { state, effects: [] };
      }
      case 'attempt.ended':
        return {
          state: removeRequest(state, event.requestId, false),
          effects: [],
        };
      case 'request.ended':
        return {
          state: removeRequest(state, event.requestId, true),
          effects: [],
        };
      default:
        return { state, effects: [] };
    }
  }

  return {
    initial: {
      targets: [],
      requests: new Map(),
      targetOf: new Map(),
      choices: 0,
    },
    reduce,
  };
}

function removeRequest(
  state: BaselineState,
  requestId: string,
  forget: boolean,
): BaselineState {
  const targetOf = new Map(state.targetOf);
  targetOf.delete(requestId);
  if (!forget) return { ...state, targetOf };
  const requests = new Map(state.requests);
  requests.delete(requestId);
  return { ...state, targetOf, requests };
}
