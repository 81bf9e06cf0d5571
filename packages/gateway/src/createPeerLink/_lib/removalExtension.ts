import { removalReports } from '@endivegate/core/forwarding';
import { z } from 'zod';
import { chunkRows } from './chunkRows.ts';
import type { ExtensionDefinition } from './peerExtensions.ts';
import { MAX_PROCESS_ROWS, processFields } from './processRow.ts';

const rowsSchema = z.array(
  z.tuple([
    ...processFields,
    /** Era of the store. */
    z.number().nonnegative(),
    /** Revision of the store at which the target was not listed. */
    z.number().nonnegative(),
  ]),
);

/** Targets whose removal an entry saw that followed the store all along. */
export const removalExtension: ExtensionDefinition<typeof rowsSchema> = {
  schema: rowsSchema,
  describe({ roster }, { nowMs, name }) {
    const rows = removalReports(roster, { name, nowMs }).map(
      ({ id, bornMs, era, revision }): z.input<typeof rowsSchema>[number] => [
        ...([id, bornMs, era, revision] as const),
      ],
    );
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
};
