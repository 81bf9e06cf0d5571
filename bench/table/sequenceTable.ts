import type { TableChange, TableDocument } from '@endivegate/contracts';
import { toTableRecords } from '@endivegate/core';

/**
 * The alternative that was weighed: each cell carries the change sequence
 * number of its last change, removed cells stay as markers, and of two changes
 * the one with the larger number stays.
 */
export interface SequenceTable {
  /** Applies an edit; returns the cells whose newer value it did not know. */
  readonly apply: (changes: readonly TableChange[], sequence: number) => number;
  readonly bytes: () => number;
}

/**
 * Creates a table of cells with change sequence numbers.
 *
 * @param document - Content before the first edit.
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

/** Time, counter and author, as a sortable text of fixed length. */
function sequenceText(sequence: number): string {
  return sequence.toString(16).padStart(16, '0') + '0001';
}
