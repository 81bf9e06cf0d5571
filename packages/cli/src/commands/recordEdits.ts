import {
  RECORD_CELL,
  parseJsonc,
  tableCellValueSchema,
  tableSectionSchema,
  type TableCellValue,
  type TableChange,
  type TableDocument,
  type TableSection,
} from '@endivegate/contracts';
import {
  ADDRESS_FIELDS,
  parseTableCell,
  recordKey,
  toTableRecords,
} from '@endivegate/core';
import * as E from 'fp-ts/lib/Either.js';
import { z } from 'zod';
import type { CliError } from '../cliError.ts';
import { sectionOf, findingsError } from './tableFile.ts';
import { textOption, usageError } from './args.ts';
import type { CommandArgs } from './command.ts';

/** An operator's edit of one record. */
export interface RecordEdit {
  readonly section: TableSection;
  readonly address: readonly string[];
  readonly isRemoved: boolean;
  /** New values by cell; `null` removes a cell. */
  readonly cells: Readonly<Record<string, TableCellValue>>;
}

const recordEditSchema = z.strictObject({
  section: tableSectionSchema.default('rows'),
  address: z.array(z.string().min(1)).min(1).max(3),
  remove: z.boolean().default(false),
  cells: z.record(z.string(), tableCellValueSchema).default({}),
});

/**
 * Parses a file of edits: a list of records with the cells to set.
 *
 * @param text - JSON with comments.
 * @param file - Name of the file, used in findings.
 * @returns The edits, or all findings.
 */
export function parseRecordEdits(
  text: string,
  file: string,
): E.Either<CliError, readonly RecordEdit[]> {
  const parsed = parseJsonc(text, z.array(recordEditSchema).min(1), { file });
  if (E.isLeft(parsed)) {
    return E.left(
      findingsError(
        parsed.left.map(({ line, column, path, message }) => ({
          place: `${file}:${line}:${column} ${path}`.trim(),
          message,
        })),
      ),
    );
  }
  return E.right(
    parsed.right.map(({ remove, ...edit }) => ({ ...edit, isRemoved: remove })),
  );
}

/**
 * Parses the arguments of `table set`.
 *
 * @param args - Address options and `CELL=VALUE` arguments.
 * @returns The edit, or a usage error.
 */
export function parseSetArgs(
  args: CommandArgs,
): E.Either<CliError, RecordEdit> {
  const isRemoved = args.values.remove === true;
  const malformed = args.positionals.find((text) => !text.includes('='));
  if (malformed !== undefined) {
    return E.left(usageError(`"${malformed}" is not CELL=VALUE`));
  }
  if (args.positionals.length === 0 && !isRemoved) {
    return E.left(usageError('expected CELL=VALUE or --remove'));
  }
  return E.chain((section: TableSection) =>
    E.map((address: readonly string[]): RecordEdit => ({
      section,
      address,
      isRemoved,
      cells: Object.fromEntries(args.positionals.map(parseAssignment)),
    }))(addressOf(args, section)),
  )(sectionOf(args));
}

/**
 * Converts record edits into changes of single cells.
 *
 * @param document - The current table.
 * @param edits - Edits of records.
 * @returns The cells that differ, each with its current and its new value.
 */
export function toChanges(
  document: TableDocument,
  edits: readonly RecordEdit[],
): readonly TableChange[] {
  const records = toTableRecords(document);
  return edits.flatMap((edit) => {
    const cells = records.get(recordKey(edit.section, edit.address))?.cells;
    const requestedCells: readonly (readonly [string, TableCellValue])[] =
      edit.isRemoved
        ? [...(cells?.keys() ?? [])].map((cell) => [cell, null] as const)
        : [[RECORD_CELL, true], ...Object.entries(edit.cells)];
    return requestedCells
      .map(([cell, after]) => ({
        section: edit.section,
        address: [...edit.address],
        cell,
        before: cells?.get(cell) ?? null,
        after,
      }))
      .filter(
        ({ before, after }) => JSON.stringify(before) !== JSON.stringify(after),
      );
  });
}

function addressOf(
  args: CommandArgs,
  section: TableSection,
): E.Either<CliError, readonly string[]> {
  const fields = ADDRESS_FIELDS[section];
  const missing = fields.find(
    (field) => section !== 'rows' && textOption(args, field) === undefined,
  );
  return missing === undefined
    ? E.right(fields.map((field) => textOption(args, field) ?? '*'))
    : E.left(usageError(`--${missing} is missing`));
}

function parseAssignment(text: string): readonly [string, TableCellValue] {
  const separatorIndex = text.indexOf('=');
  const cell = text.slice(0, separatorIndex);
  return [cell, parseTableCell(cell, text.slice(separatorIndex + 1)) ?? null];
}
