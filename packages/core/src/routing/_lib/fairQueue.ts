import type { RoutingState } from './types.ts';

/** Start tags in the same bucket rank equally; the least slack goes first. */
const START_TAG_BUCKET_MS = 500;

/**
 * Assigns a request its virtual start time by start-time fair queueing.
 *
 * @param state - State of routing.
 * @param flow - Queue and workspace.
 * @param work - Estimated cost and the workspace's weight.
 * @returns The start tag, and the state with the flow's new finish tag.
 */
export function assignStartTag(
  state: RoutingState,
  flow: { readonly queueKey: string; readonly workspace: string },
  work: { readonly costMs: number; readonly weight: number },
): { readonly state: RoutingState; readonly startTag: number } {
  const key = `${flow.queueKey} ${flow.workspace}`;
  const virtualTime = state.virtualTimes.get(flow.queueKey) ?? 0;
  const startTag = Math.max(virtualTime, state.finishTags.get(key) ?? 0);
  const finishTags = new Map(state.finishTags);
  finishTags.set(key, startTag + work.costMs / work.weight);
  return { state: { ...state, finishTags }, startTag };
}

/** Advances a queue's virtual time to the start tag of a dequeued request. */
export function advanceVirtualTime(
  state: RoutingState,
  queueKey: string,
  startTag: number,
): RoutingState {
  const before = state.virtualTimes.get(queueKey) ?? 0;
  if (startTag <= before) return state;
  const virtualTimes = new Map(state.virtualTimes);
  virtualTimes.set(queueKey, startTag);
  return { ...state, virtualTimes };
}

/** A queued request, as far as its order needs. */
export interface Queued {
  readonly startTag: number;
  /** Latest start time that still meets the deadline. */
  readonly latestStartAtMs: number;
}

/** Orders by start tag bucket, then by latest start time. */
export function compareQueued(a: Queued, b: Queued): number {
  return (
    Math.floor(a.startTag / START_TAG_BUCKET_MS) -
      Math.floor(b.startTag / START_TAG_BUCKET_MS) ||
    a.latestStartAtMs - b.latestStartAtMs
  );
}

/** Removes flows whose finish tag is not ahead of the virtual time. */
export function dropIdleFlows(state: RoutingState): RoutingState {
  const active = [...state.finishTags].filter(([key, tag]) => {
    const queueKey = key.slice(0, key.indexOf(' '));
    return tag > (state.virtualTimes.get(queueKey) ?? 0);
  });
  if (active.length === state.finishTags.size) return state;
  return { ...state, finishTags: new Map(active) };
}
