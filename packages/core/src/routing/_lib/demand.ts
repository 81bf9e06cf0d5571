import type { EventBase } from '../../events/index.ts';
import {
  DEFAULT_WORK,
  planLanes,
  type WorkByClass,
} from '../../planLanes/index.ts';
import type { RequestInfo } from '../../request/index.ts';
import { servingTargets } from './engines.ts';
import { placerOf } from './placerOf.ts';
import type { RoutingState } from './types.ts';

/** Shortest interval between two demand reports. */
const MIN_DEMAND_PERIOD_MS = 2_000;

/**
 * Report interval per live entry; bounds the report rate at a placing entry.
 */
const DEMAND_PERIOD_PER_ENTRY_MS = 30;

/** Factor by which measured work decays at each report interval. */
const WORK_DECAY = 0.9;

const NO_WORK: WorkByClass = { short: 0, medium: 0, long: 0, huge: 0 };

/** Weight of the default work shares against measured work, in milliseconds. */
const PRIOR_WEIGHT_MS = 20_000;

/** Adds a request's work to the next demand report. */
export function recordWork(
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

/** Returns the interval between two demand reports. */
export function demandPeriodMs(state: RoutingState): number {
  return Math.max(
    MIN_DEMAND_PERIOD_MS,
    state.live.length * DEMAND_PERIOD_PER_ENTRY_MS,
  );
}

/** Returns the demand reports that are due, if any, and resets their counts. */
export function takeDueReports(
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
    state: { ...replanLanes(state), work: new Map(), demandSentAtMs: atMs },
    reports,
  };
}

/** As placing entry: adds the work that an entry reported. */
export function addReportedWork(
  state: RoutingState,
  model: string,
  work: WorkByClass,
): RoutingState {
  const before =
    state.fleetWork.get(model) ?? scaleWork(DEFAULT_WORK, PRIOR_WEIGHT_MS);
  const fleetWork = new Map(state.fleetWork).set(model, addWork(before, work));
  return { ...state, fleetWork };
}

/** As placing entry: resizes the lanes by the measured work and decays it. */
function replanLanes(state: RoutingState): RoutingState {
  const coordinated = [...state.fleetWork].filter(
    ([model]) => placerOf(state, model) === state.self?.entryId,
  );
  if (coordinated.length === 0) return state;
  const lanes = new Map(state.lanes);
  coordinated.forEach(([model, work]) => {
    const engines = servingTargets(state, model).length;
    const previous = lanes.get(model);
    lanes.set(model, planLanes(engines, work, previous ? { previous } : {}));
  });
  const decayed = coordinated.map(
    ([model, work]) => [model, scaleWork(work, WORK_DECAY)] as const,
  );
  return { ...state, lanes, fleetWork: new Map(decayed) };
}

function scaleWork(work: WorkByClass, factor: number): WorkByClass {
  return {
    short: work.short * factor,
    medium: work.medium * factor,
    long: work.long * factor,
    huge: work.huge * factor,
  };
}

function addWork(a: WorkByClass, b: WorkByClass): WorkByClass {
  return {
    short: a.short + b.short,
    medium: a.medium + b.medium,
    long: a.long + b.long,
    huge: a.huge + b.huge,
  };
}
