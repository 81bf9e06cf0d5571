import { WILDCARD } from '@endivegate/contracts';
import { countHomes } from '../countHomes/index.ts';
import { type RowIndex, rowKeyOf } from '../indexRows/index.ts';
import { type HomeCandidate, pickHomes } from '../pickHomes/index.ts';

/** Least sum of weights that shares are taken of, so that few rows prove little. */
const MIN_TOTAL_WEIGHT = 10;

/**
 * Returns a workspace's homes among the live entries of a region.
 *
 * Their number follows the weight that the table gives the workspace as a
 * whole, in its row for every service and kind, against the weights of all such
 * rows. A workspace without one has the fewest homes. The homes for a smaller
 * weight are always among those for a larger one, and in the same order.
 *
 * @param workspace - Workspace id.
 * @param entries - Live entries of one region.
 * @param rows - The table's rows.
 * @returns At least two homes if there are as many entries, the first first.
 *
 * @example
 * homesOf('mzansi-planning', live, indexRows(table.rows));
 */
export function homesOf<Candidate extends HomeCandidate>(
  workspace: string,
  entries: readonly Candidate[],
  rows: RowIndex,
): readonly Candidate[] {
  const weight = rows.get(rowKeyOf(wholeOf(workspace)))?.weight ?? 0;
  const share = weight / Math.max(totalWeightOf(rows), MIN_TOTAL_WEIGHT);
  const count = countHomes(share, entries.length);
  return pickHomes(workspace, entries, { count });
}

function wholeOf(workspace: string) {
  return { workspace, service: WILDCARD, kind: WILDCARD };
}

/** Sums by index; an index is made once for each number of the table. */
const totals = new WeakMap<RowIndex, number>();

function totalWeightOf(rows: RowIndex): number {
  const known = totals.get(rows);
  if (known !== undefined) return known;
  const total = [...rows.values()]
    .filter(
      ({ workspace, service, kind }) =>
        workspace !== WILDCARD && service === WILDCARD && kind === WILDCARD,
    )
    .reduce((sum, { weight = 0 }) => sum + weight, 0);
  totals.set(rows, total);
  return total;
}
