import { enginePriorityOf, rootSlices } from '@endivegate/core';
import {
  chooseLeastInFlight,
  chooseRandom,
  chooseRoundRobin,
  createBaselineSlice,
  type ChooseTarget,
} from './baselines/index.ts';
import type { Policy } from './replay/index.ts';

const { requests, suspects, routing } = rootSlices;

function baseline(name: string, choose: ChooseTarget): Policy {
  return {
    name,
    slices: { requests, suspects, routing: createBaselineSlice(choose) },
    priorityOf: (request) => request.priority,
    replayReservesMemory: true,
  };
}

/** Policies to compare: that of Endivegate first, then the baselines. */
export const POLICIES: readonly Policy[] = [
  {
    name: 'endivegate',
    slices: { requests, suspects, routing },
    priorityOf: enginePriorityOf,
    replayReservesMemory: false,
  },
  baseline('random', chooseRandom),
  baseline('roundRobin', chooseRoundRobin),
  baseline('leastInFlight', chooseLeastInFlight),
];
