import {
  RECORD_CELL,
  type TableChange,
  type TableConflict,
} from '@endivegate/contracts';
import { formatCell } from '../formatColumns/index.ts';

/**
 * Formats changes of the table, one a line.
 *
 * @param changes - Changed cells.
 * @returns Text with a sign, the address, the cell and both values.
 *
 * @example
 * formatChanges(changes); // '~ rows a/*\/* weight: 1 -> 2\n'
 */
export function formatChanges(changes: readonly TableChange[]): string {
  if (changes.length === 0) return 'no changes\n';
  return changes.map((change) => `${formatChange(change)}\n`).join('');
}

function formatChange(change: TableChange): string {
  const place = `${change.section} ${change.address.join('/')}`;
  if (change.cell === RECORD_CELL) {
    return change.after === null ? `- ${place}` : `+ ${place}`;
  }
  const { cell, before, after } = change;
  return `~ ${place} ${cell}: ${formatCell(before)} -> ${formatCell(after)}`;
}

/**
 * Formats conflicts, one a line, with both values and who set them.
 *
 * @param conflicts - Cells that two authors changed.
 * @returns The text.
 */
export function formatConflicts(conflicts: readonly TableConflict[]): string {
  return conflicts
    .map(({ section, address, cell, before, ...sides }) => {
      const place = `${section} ${address.join('/')} ${cell}`;
      const mine = `${sides.mineAuthor} wants ${formatCell(sides.mine)}`;
      const theirs = `${sides.theirsAuthor} set ${formatCell(sides.theirs)}`;
      return `! ${place}: was ${formatCell(before)}; ${theirs}; ${mine}\n`;
    })
    .join('');
}
