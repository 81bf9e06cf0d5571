import { WILDCARD } from '@endivegate/contracts';
import { countHomes } from '../countHomes/index.ts';
import { type RowIndex, rowKeyOf } from '../indexRows/index.ts';
import { type HomeCandidate, pickHomes } from '../pickHomes/index.ts';

/**
 * Minimum total weight for computing shares, so that a workspace in a table with
 * few rows does not count as a large part of the load.
 */
const MIN_TOTAL_WEIGHT = 10;

/**
 * Returns a workspace's homes among the live entries of a region.
 *
 * The number of homes grows with the workspace's share of the total weight. Only
 * rows for any service and any kind count; a workspace without such a row has the
 * minimum number of homes. The homes for a smaller weight are always a prefix of
 * the homes for a larger one.
 *
 * @param workspace - Workspace id.
 * @param entries - Live entries of one region.
 * @param rows - The table's rows.
 * @returns The homes in order of preference; at least two, unless there are fewer
 *   entries.
 *
 * @example
 * homesOf('mzansi-planning', live, indexRows(table.rows));
 */
export function homesOf<Candidate extends HomeCandidate>(
  workspace: string,
  entries: readonly Candidate[],
  rows: RowIndex,
): readonly Candidate[] {
  const weight = rows.get(rowKeyOf(workspaceWideRow(workspace)))?.weight ?? 0;
  const share = weight / Math.max(totalWeightOf(rows), MIN_TOTAL_WEIGHT);
  const count = countHomes(share, entries.length);
  return pickHomes(workspace, entries, { count });
}

/** Returns the key fields of a workspace's row for any service and any kind. */
function workspaceWideRow(workspace: string) {
  return { workspace, service: WILDCARD, kind: WILDCARD };
}

/** Cache of total weights; one row index exists per table number. */
const totalWeights = new WeakMap<RowIndex, number>();

function totalWeightOf(rows: RowIndex): number {
  const known = totalWeights.get(rows);
  if (known !== undefined) return known;
  const total = [...rows.values()]
    .filter(
      ({ workspace, service, kind }) =>
        workspace !== WILDCARD && service === WILDCARD && kind === WILDCARD,
    )
    .reduce((sum, { weight = 0 }) => sum + weight, 0);
  totalWeights.set(rows, total);
  return total;
}
