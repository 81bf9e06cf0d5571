import {
  RECORD_CELL,
  type TableChange,
  type TableConflict,
} from '@endivegate/contracts';
import { formatCell } from '../formatColumns/index.ts';

/**
 * Formats changes of the table, one per line.
 *
 * @param changes - Changed cells.
 * @returns Lines with `+`, `-` or `~`, the address, the cell and both values.
 *
 * @example
 * formatChanges(changes); // '~ rows a/*\/* weight: 1 -> 2\n'
 */
export function formatChanges(changes: readonly TableChange[]): string {
  if (changes.length === 0) return 'no changes\n';
  return changes.map((change) => `${formatChange(change)}\n`).join('');
}

function formatChange(change: TableChange): string {
  const location = `${change.section} ${change.address.join('/')}`;
  if (change.cell === RECORD_CELL) {
    return change.after === null ? `- ${location}` : `+ ${location}`;
  }
  const { cell, before, after } = change;
  return `~ ${location} ${cell}: ${formatCell(before)} -> ${formatCell(after)}`;
}

/**
 * Formats conflicts, one per line, with both values and their authors.
 *
 * @param conflicts - Cells that two authors changed.
 * @returns The text.
 */
export function formatConflicts(conflicts: readonly TableConflict[]): string {
  return conflicts
    .map(({ section, address, cell, before, ...sides }) => {
      const location = `${section} ${address.join('/')} ${cell}`;
      const mine = `${sides.mineAuthor} wants ${formatCell(sides.mine)}`;
      const theirs = `${sides.theirsAuthor} set ${formatCell(sides.theirs)}`;
      return `! ${location}: was ${formatCell(before)}; ${theirs}; ${mine}\n`;
    })
    .join('');
}
