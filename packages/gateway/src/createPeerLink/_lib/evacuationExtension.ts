import {
  evacuationReports,
  isReadingStore,
  type EvacuationReport,
} from '@endivegate/core/forwarding';
import { z } from 'zod';
import { chunkRows } from './chunkRows.ts';
import {
  hasForm,
  type PositionForm,
  positionFields,
  positionRow,
} from './positionForm.ts';
import type { ExtensionDefinition } from './peerExtensions.ts';

/** Evacuations in one datagram. */
const MAX_ROWS = 12;

const rowsSchema = z.array(
  z.tuple([
    /** Data centre. */
    z.string(),
    /** Position of the store. */
    ...positionFields,
    /** Whether the data centre is evacuated. */
    z.boolean(),
    /** Time since an entry learned of it, in ms. */
    z.number().nonnegative(),
  ]),
);

/**
 * Evacuations in force and recent removals. Entries that read the store report them,
 * and so do those that report what they received.
 */
export const evacuationExtension = (
  form: PositionForm,
): ExtensionDefinition<typeof rowsSchema> => ({
  schema: rowsSchema,
  describe({ evacuations }, { nowMs, includeReceived }) {
    if (!includeReceived && !isReadingStore(evacuations, nowMs)) return [];
    const rows = evacuationReports(evacuations, nowMs)
      .filter((report) => hasForm(report, form))
      .map(encodeRow);
    return chunkRows(rows, { maxRows: MAX_ROWS });
  },
  apply: (rows, { nowMs }) => [
    {
      type: 'evacuations.reported',
      atMs: nowMs,
      reports: rows.map(decodeRow),
      source: 'peer',
    },
  ],
});

function encodeRow(
  report: EvacuationReport,
): z.input<typeof rowsSchema>[number] {
  const { dataCentre, isEvacuated, ageMs } = report;
  return [dataCentre, ...positionRow(report), isEvacuated, ageMs];
}

function decodeRow(row: z.output<typeof rowsSchema>[number]): EvacuationReport {
  const [dataCentre, era, revision, isEvacuated, ageMs] = row;
  return { dataCentre, era, revision, isEvacuated, ageMs };
}
