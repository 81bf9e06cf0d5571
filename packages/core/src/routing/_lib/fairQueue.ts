import type { RoutingState } from './types.ts';

/** Start tags within this span are alike; the least slack goes first. */
const TAG_SPAN_MS = 500;

/**
 * Gives a request its virtual start time, by start-time fair queueing.
 *
 * @param state - State of routing.
 * @param flow - Lane and workspace.
 * @param work - Estimated cost and the workspace's weight.
 * @returns The tag, and the state in which the flow has moved on.
 */
export function tagRequest(
  state: RoutingState,
  flow: { readonly lane: string; readonly workspace: string },
  work: { readonly costMs: number; readonly weight: number },
): { readonly state: RoutingState; readonly startTag: number } {
  const key = `${flow.lane} ${flow.workspace}`;
  const virtualTime = state.virtualTimes.get(flow.lane) ?? 0;
  const startTag = Math.max(virtualTime, state.finishTags.get(key) ?? 0);
  const finishTags = new Map(state.finishTags);
  finishTags.set(key, startTag + work.costMs / work.weight);
  return { state: { ...state, finishTags }, startTag };
}

/** Moves a lane's virtual time on to the request that was taken. */
export function advanceVirtualTime(
  state: RoutingState,
  lane: string,
  startTag: number,
): RoutingState {
  const before = state.virtualTimes.get(lane) ?? 0;
  if (startTag <= before) return state;
  const virtualTimes = new Map(state.virtualTimes);
  virtualTimes.set(lane, startTag);
  return { ...state, virtualTimes };
}

/** Something that waits for its turn. */
export interface Queued {
  readonly startTag: number;
  /** Latest start at which it would still be in time. */
  readonly latestStartAtMs: number;
}

/** Orders by fair share first, then by slack. */
export function compareQueued(a: Queued, b: Queued): number {
  return (
    Math.floor(a.startTag / TAG_SPAN_MS) -
      Math.floor(b.startTag / TAG_SPAN_MS) ||
    a.latestStartAtMs - b.latestStartAtMs
  );
}

/** Forgets flows that the virtual time has passed. */
export function dropIdleFlows(state: RoutingState): RoutingState {
  const active = [...state.finishTags].filter(([key, tag]) => {
    const lane = key.slice(0, key.indexOf(' '));
    return tag > (state.virtualTimes.get(lane) ?? 0);
  });
  if (active.length === state.finishTags.size) return state;
  return { ...state, finishTags: new Map(active) };
}
