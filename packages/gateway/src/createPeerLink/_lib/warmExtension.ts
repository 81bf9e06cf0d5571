import { coldReports } from '@endivegate/core/forwarding';
import { z } from 'zod';
import { chunkRows } from './chunkRows.ts';
import type { ExtensionDefinition } from './peerExtensions.ts';
import { MAX_PROCESS_ROWS, processFields } from './processRow.ts';

const rowsSchema = z.array(
  z.tuple([
    ...processFields,
    /** How long it stays cold after the report, in ms; 0 if it is warm. */
    z.number().nonnegative(),
    /** Age of the report, in ms. */
    z.number().nonnegative(),
  ]),
);

/** Cold targets that an entry knows of. */
export const warmExtension: ExtensionDefinition<typeof rowsSchema> = {
  schema: rowsSchema,
  describe({ coldTargets }, { nowMs, includeReceived }) {
    const rows = coldReports(coldTargets, { includeReceived, nowMs }).map(
      ({ id, bornMs, leftMs, atMs }): z.input<typeof rowsSchema>[number] => [
        ...([id, bornMs, Math.ceil(leftMs)] as const),
        Math.max(Math.floor(nowMs - atMs), 0),
      ],
    );
    return chunkRows(rows, { maxRows: MAX_PROCESS_ROWS });
  },
  apply: (rows, { nowMs }) => [
    {
      type: 'coldTargets.received',
      reports: rows.map(([id, bornMs, leftMs, ageMs]) => ({
        ...{ id, bornMs, leftMs },
        atMs: nowMs - ageMs,
      })),
    },
  ],
};
