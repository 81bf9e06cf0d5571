import type { Target } from '@endivegate/contracts';
import type {
  EventBase,
  RaiseEffect,
  RequestInfo,
  SharedEvent,
  Slice,
  Step,
} from '@endivegate/core';

/** What a baseline knows when it chooses. */
export interface ChoiceContext {
  /** Requests that this entry has in flight at a target. */
  readonly inFlightAt: (targetId: string) => number;
  /** Choices made before by this entry. */
  readonly choices: number;
  /** Uniform in [0, 1). */
  readonly random: number;
}

/** Chooses one of several targets; there is at least one. */
export type ChooseTarget = (
  candidates: readonly Target[],
  context: ChoiceContext,
) => Target | undefined;

/** Every target with equal probability. */
export const chooseRandom: ChooseTarget = (candidates, { random }) =>
  candidates[Math.floor(random * candidates.length)];

/** Each target in turn. */
export const chooseRoundRobin: ChooseTarget = (candidates, { choices }) =>
  candidates[choices % candidates.length];

/** The target with the fewest requests of this entry; ties at random. */
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
 * Creates a slice that sends each request at once, in place of `routing`.
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
    const busy = [...state.targetOf.values()];
    const candidates = state.targets.filter(
      (target) =>
        !target.leaving &&
        target.serves.includes(request.service) &&
        !excluded.includes(target.targetId),
    );
    const target = choose(candidates, {
      inFlightAt: (targetId) => busy.filter((id) => id === targetId).length,
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
        return { state: without(state, event.requestId, false), effects: [] };
      case 'request.ended':
        return { state: without(state, event.requestId, true), effects: [] };
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

function without(
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
