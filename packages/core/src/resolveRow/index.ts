import {
  WILDCARD,
  type EffectiveRow,
  type TableRow,
  type TableRowKey,
} from '@endivegate/contracts';
import { rowKeyOf, type RowIndex } from '../indexRows/index.ts';

/** Cells of a plain service's call where the table has none: no limits. */
export const DEFAULT_CELLS: EffectiveRow = {
  weight: 1,
  concurrency: 1_000_000,
  requestsPerSecond: 1_000_000,
  tokensPerSecond: 1_000_000_000,
  deadlineMs: 60_000,
  priority: 5,
  repeatable: false,
};

/** Cells of a prompt where the table has none; prompts may be repeated. */
export const DEFAULT_PROMPT_CELLS: EffectiveRow = {
  ...DEFAULT_CELLS,
  deadlineMs: 120_000,
  repeatable: true,
};

/** Options of {@link resolveRow}. */
export interface ResolveRowOptions {
  /** Cells that no row sets; {@link DEFAULT_CELLS} unless given. */
  readonly defaults?: EffectiveRow;
}

/**
 * Returns the cells that apply to requests of one workspace, service and kind.
 *
 * Rows are tried from the most to the least specific; an exact workspace counts
 * more than an exact service, which counts more than an exact kind. Each cell
 * comes from the first row that sets it.
 *
 * @param index - The table's rows.
 * @param key - Workspace, service and kind of the request.
 * @param options - Defaults of cells that no row sets.
 * @returns Every cell, after inheritance and defaults.
 *
 * @example
 * resolveRow(index, { workspace: 'a', service: 'm', kind: 'chat' }).deadlineMs;
 */
export function resolveRow(
  index: RowIndex,
  key: TableRowKey,
  options: ResolveRowOptions = {},
): EffectiveRow {
  const { defaults = DEFAULT_CELLS } = options;
  return matchingRows(index, key).reduceRight<EffectiveRow>(
    (cells, row) => ({ ...cells, ...cellsOf(row) }),
    defaults,
  );
}

/**
 * Returns the rows that apply to a request, the most specific first.
 *
 * @param index - The table's rows.
 * @param key - Workspace, service and kind of the request.
 * @returns At most eight rows.
 *
 * @example
 * matchingRows(index, { workspace: 'a', service: 'm', kind: 'chat' })[0];
 */
export function matchingRows(
  index: RowIndex,
  key: TableRowKey,
): readonly TableRow[] {
  return [key.workspace, WILDCARD]
    .flatMap((workspace) =>
      [key.service, WILDCARD].flatMap((service) =>
        [key.kind, WILDCARD].map((kind) => ({ workspace, service, kind })),
      ),
    )
    .map((address) => index.get(rowKeyOf(address)))
    .filter((row) => row !== undefined);
}

const ADDRESS_FIELDS: ReadonlySet<string> = new Set<keyof TableRowKey>([
  'workspace',
  'service',
  'kind',
]);

function cellsOf(row: TableRow): Partial<EffectiveRow> {
  return Object.fromEntries(
    Object.entries(row).filter(
      ([field, value]) => !ADDRESS_FIELDS.has(field) && value !== undefined,
    ),
  );
}
