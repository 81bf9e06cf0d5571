import { removalReports } from '@endivegate/core/forwarding';
import { z } from 'zod';
import { chunkRows } from './chunkRows.ts';
import type { ExtensionDefinition } from './peerExtensions.ts';
import {
  hasForm,
  type PositionForm,
  positionFields,
  positionRow,
} from './positionForm.ts';
import { MAX_PROCESS_ROWS, processFields } from './processRow.ts';

const rowsSchema = z.array(
  z.tuple([
    ...processFields,
    /** Position of the store at which the target was not listed. */
    ...positionFields,
  ]),
);

/** Targets whose removal an entry saw that followed the store all along. */
export const removalExtension = (
  form: PositionForm,
): ExtensionDefinition<typeof rowsSchema> => ({
  schema: rowsSchema,
  describe({ roster }, { nowMs, name }) {
    const rows = removalReports(roster, { name, nowMs })
      .filter((removal) => hasForm(removal, form))
      .map((removal): z.input<typeof rowsSchema>[number] => [
        removal.id,
        removal.bornMs,
        ...positionRow(removal),
      ]);
    return chunkRows(rows, { maxRows: MAX_PROCESS_ROWS });
  },
  apply: (rows, { nowMs, sender }) => [
    {
      type: 'roster.removalsReported',
      atMs: nowMs,
      peer: sender.name,
      removals: rows.map(([id, bornMs, era, revision]) => ({
        ...{ id, bornMs, era, revision },
      })),
    },
  ],
});
