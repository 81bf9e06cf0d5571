import type { EventBase } from '../../events/index.ts';
import {
  DEFAULT_WORK,
  planLanes,
  type WorkByClass,
} from '../../planLanes/index.ts';
import type { RequestInfo } from '../../request/index.ts';
import { servingTargets } from './engines.ts';
import { placerOf } from './peers.ts';
import type { RoutingState } from './types.ts';

/** Shortest time between two reports of demand. */
const MIN_DEMAND_PERIOD_MS = 2_000;

/** Added to that time for each live entry; bounds what a placing entry gets. */
const DEMAND_PERIOD_PER_ENTRY_MS = 30;

/** Part of the measured work that is left after a period. */
const WORK_DECAY = 0.9;

const NO_WORK: WorkByClass = { short: 0, medium: 0, long: 0, huge: 0 };

/** Weight of the assumed shares against measured work, in milliseconds. */
const PRIOR_MS = 20_000;

/** Counts a request's work for the next report of demand. */
export function noteWork(
  state: RoutingState,
  request: RequestInfo,
  costMs: number,
): RoutingState {
  const before = state.work.get(request.service) ?? NO_WORK;
  const { lengthClass } = request;
  const work = new Map(state.work);
  work.set(request.service, {
    ...before,
    [lengthClass]: before[lengthClass] + costMs,
  });
  return { ...state, work };
}

/** Returns the time between two reports of demand. */
export function demandPeriodMs(state: RoutingState): number {
  return Math.max(
    MIN_DEMAND_PERIOD_MS,
    state.live.length * DEMAND_PERIOD_PER_ENTRY_MS,
  );
}

/** Takes the reports that are due; empty when it is not time yet. */
export function takeDemand(
  state: RoutingState,
  { atMs }: EventBase,
): {
  readonly state: RoutingState;
  readonly reports: readonly (readonly [string, WorkByClass])[];
} {
  if (atMs - state.demandSentAtMs < demandPeriodMs(state)) {
    return { state, reports: [] };
  }
  const reports = [...state.work];
  return {
    state: { ...replan(state), work: new Map(), demandSentAtMs: atMs },
    reports,
  };
}

/** As placing entry: adds an entry's report. */
export function addDemand(
  state: RoutingState,
  model: string,
  work: WorkByClass,
): RoutingState {
  const before = state.fleetWork.get(model) ?? scale(DEFAULT_WORK, PRIOR_MS);
  const fleetWork = new Map(state.fleetWork).set(model, sum(before, work));
  return { ...state, fleetWork };
}

/** As placing entry: resizes lanes from the measured work, which fades. */
function replan(state: RoutingState): RoutingState {
  const own = [...state.fleetWork].filter(
    ([model]) => placerOf(state, model) === state.self?.entryId,
  );
  if (own.length === 0) return state;
  const lanes = new Map(state.lanes);
  own.forEach(([model, work]) => {
    const engines = servingTargets(state, model).length;
    const previous = lanes.get(model);
    lanes.set(model, planLanes(engines, work, previous ? { previous } : {}));
  });
  const faded = own.map(
    ([model, work]) => [model, scale(work, WORK_DECAY)] as const,
  );
  return { ...state, lanes, fleetWork: new Map(faded) };
}

function scale(work: WorkByClass, factor: number): WorkByClass {
  return {
    short: work.short * factor,
    medium: work.medium * factor,
    long: work.long * factor,
    huge: work.huge * factor,
  };
}

function sum(a: WorkByClass, b: WorkByClass): WorkByClass {
  return {
    short: a.short + b.short,
    medium: a.medium + b.medium,
    long: a.long + b.long,
    huge: a.huge + b.huge,
  };
}
