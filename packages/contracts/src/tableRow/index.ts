import { z } from 'zod';

/** Wildcard that matches every workspace, service or kind in a table row. */
export const WILDCARD = '*';

/**
 * One row of the operators' table.
 *
 * A row applies to the requests of one workspace, service and kind. `*` in an
 * address field matches everything; the most specific row applies. A missing
 * cell is inherited from the next less specific row.
 */
export const tableRowSchema = z.strictObject({
  workspace: z.string().min(1).max(128),
  service: z.string().min(1).max(128),
  kind: z.string().min(1).max(64),
  /** Relative share of capacity under contention. */
  weight: z.number().positive().max(1_000).optional(),
  /** Requests in flight over all entries. */
  concurrency: z.number().int().nonnegative().max(1_000_000).optional(),
  requestsPerSecond: z.number().nonnegative().max(1_000_000).optional(),
  /** Prompt and output tokens started per second over all entries. */
  tokensPerSecond: z.number().nonnegative().max(1_000_000_000).optional(),
  /** Time within which a request finishes or fails. */
  deadlineMs: z.number().int().positive().max(86_400_000).optional(),
  /** Higher is more urgent; passed to engines. */
  priority: z.number().int().min(0).max(9).optional(),
  /** Whether a call may be sent again after an attempt of unknown outcome. */
  repeatable: z.boolean().optional(),
});

/** One row of the operators' table. */
export type TableRow = z.infer<typeof tableRowSchema>;

/** Schema of a row's address. */
export const tableRowKeySchema = tableRowSchema.pick({
  workspace: true,
  service: true,
  kind: true,
});

/** The value cells of a row, without its address. */
export type TableCells = Omit<TableRow, 'workspace' | 'service' | 'kind'>;

/** Address of a row in the table. */
export type TableRowKey = Pick<TableRow, 'workspace' | 'service' | 'kind'>;

/** All value cells of a request's row, after inheritance and defaults. */
export type EffectiveRow = {
  readonly [K in keyof TableCells]-?: NonNullable<TableCells[K]>;
};
