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
    reservesForIt: true,
  };
}

/** The product's policy first, then the baselines. */
export const POLICIES: readonly Policy[] = [
  {
    name: 'endivegate',
    slices: { requests, suspects, routing },
    priorityOf: enginePriorityOf,
    reservesForIt: false,
  },
  baseline('random', chooseRandom),
  baseline('roundRobin', chooseRoundRobin),
  baseline('leastInFlight', chooseLeastInFlight),
];
