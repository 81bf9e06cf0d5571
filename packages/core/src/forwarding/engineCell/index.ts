import type { PeersState } from '../peerList/index.ts';
import type { RosterState, RosterTarget } from '../targetRoster/index.ts';

/** What decides whether a fleet is divided into cells. */
export interface FleetView {
  readonly roster: RosterState;
  readonly peers: PeersState;
  /** Data centre of this entry. */
  readonly dataCentre: string;
}

/** Fleets up to this size share everything: the cost of it is small there. */
export const MAX_SHARED_ENTRIES = 16;

/** Targets that a data centre needs to form a cell: room for two of the largest
 * prompts, which are split over 17 engines each. */
const MIN_CELL_TARGETS = 34;

/** A cell with fewer usable targets than this part of an average data centre is
 * widened to the whole fleet. */
const MIN_CELL_SHARE = 0.5;

/**
 * Decides whether each data centre forms a cell: its entries use its own targets
 * and tell only each other of their requests, so that the cost of an entry does
 * not grow with the requests of the whole fleet. Answers the load pattern
 * "every sender tracks every server".
 *
 * All entries decide from the same facts. Those that disagree for a moment know
 * less of each other's requests, and nothing else.
 *
 * @param fleet - Targets and entries of the fleet.
 * @returns Whether the fleet is large and each data centre has enough targets.
 *
 * @example
 * formsCells({ roster, peers, dataCentre: 'a' });
 */
export function formsCells(fleet: FleetView): boolean {
  const { roster, peers, dataCentre } = fleet;
  if (peers.size + 1 <= MAX_SHARED_ENTRIES) return false;
  const sizes = countByDataCentre([...roster.targets.values()]);
  const dataCentres = new Set(
    [...peers.values()].map((peer) => peer.dataCentre),
  ).add(dataCentre);
  return [...dataCentres].every(
    (name) => (sizes.get(name) ?? 0) >= MIN_CELL_TARGETS,
  );
}

/**
 * Limits the targets of a service to this entry's cell. A cell that lost most of
 * its targets, or whose targets failed recently, is widened at once.
 *
 * @param targets - Usable targets of the service.
 * @param query - Data centre of this entry and current monotonic time.
 * @returns The targets of the data centre, or all when they are too few.
 *
 * @example
 * cellTargets(targets, { dataCentre: 'a', nowMs: performance.now() });
 */
export function cellTargets(
  targets: readonly RosterTarget[],
  query: { readonly dataCentre: string; readonly nowMs: number },
): readonly RosterTarget[] {
  const cell = targets.filter(
    (target) => target.dataCentre === query.dataCentre,
  );
  const sound = cell.filter((target) => target.avoidUntilMs <= query.nowMs);
  const dataCentres = countByDataCentre(targets).size;
  const averageSize = targets.length / Math.max(dataCentres, 1);
  return sound.length >= averageSize * MIN_CELL_SHARE ? cell : targets;
}

function countByDataCentre(
  targets: readonly RosterTarget[],
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  targets
    .filter((target) => !target.draining)
    .forEach(({ dataCentre }) => {
      counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1);
    });
  return counts;
}
