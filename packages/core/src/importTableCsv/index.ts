import { parse } from 'csv-parse/sync';
import * as E from 'fp-ts/lib/Either.js';
import type {
  TableDocument,
  TableFinding,
  TableSection,
} from '@endivegate/contracts';
import { parseTableCell } from '../parseTableCell/index.ts';
import { RECORD_SCHEMAS, tableCsvColumns } from '../tableCsvColumns/index.ts';

/** Options of {@link importTableCsv}. */
export interface ImportTableCsvOptions {
  /** File name to show in findings. */
  readonly file?: string;
}

interface CsvRecord {
  readonly info: { readonly lines: number };
  readonly record: Readonly<Record<string, string>>;
}

/**
 * Parses a section of the table from CSV.
 *
 * An empty cell means that the cell is not set. Columns may be in any order;
 * unknown columns are reported as findings.
 *
 * @param text - CSV text with a header line.
 * @param section - Section to which the records belong.
 * @param options - File name for findings.
 * @returns The section's records, or all findings with line and column name.
 *
 * @example
 * importTableCsv('workspace,service,kind,weight\na,*,*,2\n', 'rows');
 */
export function importTableCsv<Section extends TableSection>(
  text: string,
  section: Section,
  options: ImportTableCsvOptions = {},
): E.Either<readonly TableFinding[], TableDocument[Section]> {
  const file = options.file ?? '<input>';
  return E.chain((records: readonly CsvRecord[]) =>
    checkRecords<Section>(records, section, file),
  )(parseCsv(text, file));
}

function parseCsv(
  text: string,
  file: string,
): E.Either<readonly TableFinding[], readonly CsvRecord[]> {
  return E.tryCatch(
    () =>
      parse(text, {
        bom: true,
        columns: true,
        info: true,
        skip_empty_lines: true,
      }) as unknown as readonly CsvRecord[],
    (error) => [{ place: file, message: `invalid CSV: ${messageOf(error)}` }],
  );
}

function checkRecords<Section extends TableSection>(
  records: readonly CsvRecord[],
  section: Section,
  file: string,
): E.Either<readonly TableFinding[], TableDocument[Section]> {
  const knownColumns = new Set(tableCsvColumns(section));
  const unknownColumns = Object.keys(records[0]?.record ?? {}).filter(
    (column) => !knownColumns.has(column),
  );
  const results = records.map(({ info, record }) => ({
    line: info.lines,
    parsed: RECORD_SCHEMAS[section].safeParse(toValues(record, knownColumns)),
  }));
  const findings = [
    ...unknownColumns.map((column) => ({
      place: `${file}:1`,
      message: `unknown column ${JSON.stringify(column)}`,
    })),
    ...results.flatMap(({ line, parsed }) =>
      (parsed.error?.issues ?? []).map((issue) => ({
        place: `${file}:${line} ${issue.path.map(String).join('.')}`.trim(),
        message: issue.message,
      })),
    ),
  ];
  if (findings.length > 0) return E.left(findings);
  const values = results.map(({ parsed }) => parsed.data);
  return E.right(values as unknown as TableDocument[Section]);
}

function toValues(
  record: Readonly<Record<string, string>>,
  knownColumns: ReadonlySet<string>,
): Record<string, unknown> {
  return Object.fromEntries(
    Object.entries(record)
      .filter(([column]) => knownColumns.has(column))
      .map(([column, cell]) => [column, parseTableCell(column, cell)] as const)
      .filter(([, value]) => value !== undefined),
  );
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
