import {
  evacuationReports,
  isReadingStore,
  type EvacuationReport,
} from '@endivegate/core/forwarding';
import { z } from 'zod';
import { chunkRows } from './chunkRows.ts';
import type { ExtensionDefinition } from './peerExtensions.ts';

/** Evacuations in one datagram. */
const MAX_ROWS = 12;

const rowsSchema = z.array(
  z.tuple([
    /** Data centre. */
    z.string(),
    /** Era of the store. */
    z.number().nonnegative(),
    /** Revision of the store. */
    z.number().nonnegative(),
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
export const evacuationExtension: ExtensionDefinition<typeof rowsSchema> = {
  schema: rowsSchema,
  describe({ evacuations }, { nowMs, includeReceived }) {
    if (!includeReceived && !isReadingStore(evacuations, nowMs)) return [];
    const rows = evacuationReports(evacuations, nowMs).map(encodeRow);
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
};

type Row = z.infer<typeof rowsSchema>[number];

function encodeRow(report: EvacuationReport): Row {
  const { dataCentre, era, revision, isEvacuated, ageMs } = report;
  return [dataCentre, era, revision, isEvacuated, ageMs];
}

function decodeRow(row: Row): EvacuationReport {
  const [dataCentre, era, revision, isEvacuated, ageMs] = row;
  return { dataCentre, era, revision, isEvacuated, ageMs };
}
