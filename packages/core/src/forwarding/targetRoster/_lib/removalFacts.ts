import type { ExactInteger } from '@endivegate/contracts/forwarding';
import type {
  KnownRemoval,
  ListPosition,
  RosterState,
  RosterTarget,
  TargetProcess,
  TargetRemoval,
} from '../types.ts';
import { processKey } from './steps.ts';

/** Time for which a removal is reported to peers, which allows for lost datagrams. */
const REPORT_MS = 3500;

/** Peers that repeat the report of a removal that several have seen. */
const REPEATERS = 2;

/** Time for which removals are remembered: longer than any list is under way. */
const RETENTION_MS = 60_000;

/** Records a removal that this entry saw itself. */
export function withOwnRemoval(
  state: RosterState,
  process: TargetProcess & { readonly at: ListPosition },
  atMs: number,
): RosterState {
  const { id, bornMs, at } = process;
  const reporters = state.removals.get(processKey(process))?.reporters ?? [];
  return withRemoval(state, {
    ...{ id, bornMs, era: at.era, revision: at.revision },
    ...{ atMs, isOwn: true, reporters },
  });
}

/** Records a removal that a peer reported. */
export function withReportedRemoval(
  state: RosterState,
  removal: TargetRemoval,
  heard: { readonly atMs: number; readonly peer: string },
): RosterState {
  const { id, bornMs, era, revision } = removal;
  const known = state.removals.get(processKey(removal));
  const { atMs = heard.atMs, isOwn = false, reporters = [] } = known ?? {};
  return withRemoval(state, {
    ...{ id, bornMs, era, revision, atMs, isOwn },
    reporters: [...new Set([...reporters, heard.peer])],
  });
}

/** Records a removal at the newest position that is known of it. */
function withRemoval(state: RosterState, removal: KnownRemoval): RosterState {
  const key = processKey(removal);
  const { era, revision } = newest(removal, state.removals.get(key));
  const removals = new Map(state.removals).set(key, {
    ...removal,
    era,
    revision,
  });
  return { ...state, removals };
}

function newest(a: ListPosition, b: ListPosition = a): ListPosition {
  const isNewer = b.era === a.era ? b.revision > a.revision : b.era > a.era;
  return isNewer ? b : a;
}

/**
 * Whether a target's entry was written after a removal. Where its revision is unknown, it
 * was unless the target is missing from the list.
 */
export function isWrittenAfter(
  target: RosterTarget,
  removal: TargetRemoval,
  era: ExactInteger | undefined,
): boolean {
  const isListed = target.missingSinceMs === undefined;
  if (target.revision === undefined || era === undefined) return isListed;
  if (removal.era !== era) return removal.era < era && isListed;
  return target.revision > removal.revision;
}

/** Whether a list entry is older than the removal of its process, as in a list that
 * arrives late. */
export function isOutdated(
  state: RosterState,
  listed: TargetProcess & { readonly revision?: ExactInteger | undefined },
): boolean {
  const removal = state.removals.get(processKey(listed));
  return (
    removal !== undefined &&
    removal.era === state.era &&
    listed.revision !== undefined &&
    listed.revision <= removal.revision
  );
}

/**
 * Lists the removals that an entry reports to its peers: those that it saw itself, until
 * enough peers that come before it by name report them as well.
 *
 * @param state - The roster.
 * @param options - Name of this entry and the current monotonic time.
 * @returns The removals.
 *
 * @example
 * removalReports(state.roster, { name: 'e1', nowMs: performance.now() });
 */
export function removalReports(
  state: RosterState,
  { name, nowMs }: { readonly name: string; readonly nowMs: number },
): readonly TargetRemoval[] {
  return [...state.removals.values()].filter(
    ({ isOwn, atMs, reporters }) =>
      isOwn &&
      nowMs - atMs < REPORT_MS &&
      reporters.filter((peer) => peer < name).length < REPEATERS,
  );
}

/** Forgets removals that no late list or report can concern any more. */
export function forgetRemovals(
  removals: RosterState['removals'],
  atMs: number,
): RosterState['removals'] {
  const kept = [...removals].filter(
    ([, removal]) => atMs - removal.atMs < RETENTION_MS,
  );
  return kept.length === removals.size ? removals : new Map(kept);
}
