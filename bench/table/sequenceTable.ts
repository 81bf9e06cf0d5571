import type { TableChange, TableDocument } from '@endivegate/contracts';
import { toTableRecords } from '@endivegate/core';

/**
 * The alternative to the manifest: each cell carries the change sequence number
 * of its last change, removed cells remain as tombstones, and the change with
 * the larger number wins.
 */
export interface SequenceTable {
  /**
   * Applies an edit; returns the number of cells in which it overwrote a value
   * that its author had not seen.
   */
  readonly apply: (changes: readonly TableChange[], sequence: number) => number;
  readonly bytes: () => number;
}

/**
 * Creates a table of cells with change sequence numbers.
 *
 * @param document - Initial content.
 * @returns The table.
 */
export function createSequenceTable(document: TableDocument): SequenceTable {
  const cells = new Map<string, { value: unknown; sequence: string }>();
  [...toTableRecords(document)].forEach(([key, record]) => {
    record.cells.forEach((value, cell) => {
      cells.set(`${key}/${cell}`, { value, sequence: sequenceText(0) });
    });
  });
  return {
    apply: (changes, sequence) =>
      changes.filter((change) => {
        const key = `${JSON.stringify([change.section, ...change.address])}/${change.cell}`;
        const current = cells.get(key)?.value ?? null;
        cells.set(key, {
          value: change.after,
          sequence: sequenceText(sequence),
        });
        return (
          JSON.stringify(current) !== JSON.stringify(change.before) &&
          JSON.stringify(current) !== JSON.stringify(change.after)
        );
      }).length,
    bytes: () => Buffer.byteLength(JSON.stringify([...cells])),
  };
}

/**
 * Encodes a sequence number as fixed-length hexadecimal that sorts as text;
 * stands in for time, counter and author.
 */
function sequenceText(sequence: number): string {
  return sequence.toString(16).padStart(16, '0') + '0001';
}
