import {
  tableBodySchema,
  tableHistoryBodySchema,
  type TableBody,
} from '@endivegate/contracts';
import {
  diffTables,
  exportTableCsv,
  mergeTables,
  tableCsvColumns,
} from '@endivegate/core';
import * as E from 'fp-ts/lib/Either.js';
import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import type { CliError } from '../cliError.ts';
import { EXIT_CODES } from '../exitCodes.ts';
import { formatChanges } from '../formatChanges/index.ts';
import { formatColumns } from '../formatColumns/index.ts';
import { parseWholeNumber, textOption, wholeNumberOption } from './args.ts';
import type {
  Command,
  CommandArgs,
  CommandContext,
  CommandResult,
} from './command.ts';
import { parseRecordEdits, parseSetArgs, toChanges } from './recordEdits.ts';
import { EDIT_OPTIONS, EDIT_USAGE, sendEdit } from './sendEdit.ts';
import {
  readCsvTable,
  readFile,
  readJsonTable,
  readTable,
  sectionOf,
  type TableFile,
} from './tableFile.ts';

const addressOptions = {
  section: { type: 'string' },
  workspace: { type: 'string' },
  service: { type: 'string' },
  kind: { type: 'string' },
  model: { type: 'string' },
} as const;

const FILE_OPTIONS = { base: { type: 'string' } } as const;

/** Commands about the table. */
export const tableCommands: readonly Command[] = [
  {
    name: 'table show',
    usage:
      '[--section rows|workspaces|models] [--workspace W] [--service S] [--kind K] [--model M]',
    summary:
      'show the table in force at the entry; works while the store is down',
    options: addressOptions,
    positionals: [],
    run: ({ call }, args) =>
      pipe(
        call({ path: '/v1/table/in-force', schema: tableBodySchema }),
        TE.chainEitherK((table) => showSection(table, args)),
      ),
  },
  {
    name: 'table set',
    usage: `[--workspace W] [--service S] [--kind K] CELL=VALUE... | --remove  ${EDIT_USAGE}`,
    summary: 'set cells of one record; an empty value removes the cell',
    options: {
      ...addressOptions,
      ...EDIT_OPTIONS,
      remove: { type: 'boolean' },
    },
    positionals: ['CELL=VALUE...'],
    run: (context, args) =>
      pipe(
        TE.fromEither(parseSetArgs(args)),
        TE.bindTo('edit'),
        TE.bind('table', () => readTable(context.call)),
        TE.chain(({ edit, table }) =>
          sendChanges(context, args, toChanges(table.document, [edit])),
        ),
      ),
  },
  {
    name: 'table edit',
    usage: `FILE|-  ${EDIT_USAGE}`,
    summary:
      'set cells of many records: [{ "address": [W, S, K], "cells": {...} }]',
    options: EDIT_OPTIONS,
    positionals: ['FILE'],
    run: (context, args) => {
      const file = args.positionals[0] ?? '-';
      return pipe(
        readFile(context, file),
        TE.chainEitherK((text) => parseRecordEdits(text, file)),
        TE.bindTo('edits'),
        TE.bind('table', () => readTable(context.call)),
        TE.chain(({ edits, table }) =>
          sendChanges(context, args, toChanges(table.document, edits)),
        ),
      );
    },
  },
  {
    name: 'table diff',
    usage: 'FILE|- [--base N]',
    summary: 'preview what a whole table in a file would change',
    options: FILE_OPTIONS,
    positionals: ['FILE'],
    run: (context, args) =>
      pipe(
        readJsonTable(context, args),
        TE.chain((file) => previewFile(context, file)),
      ),
  },
  {
    name: 'table apply',
    usage: `FILE|- [--base N] [--dry-run]  ${EDIT_USAGE}`,
    summary: 'merge a whole table in a file into the one in force',
    options: {
      ...FILE_OPTIONS,
      ...EDIT_OPTIONS,
      'dry-run': { type: 'boolean' },
    },
    positionals: ['FILE'],
    run: (context, args) =>
      pipe(
        readJsonTable(context, args),
        TE.chain((file) => applyFile(context, args, file)),
      ),
  },
  {
    name: 'table import',
    usage: `FILE|- --base N [--section S] [--dry-run]  ${EDIT_USAGE}`,
    summary: 'merge one section from CSV into the table in force',
    options: {
      ...FILE_OPTIONS,
      ...EDIT_OPTIONS,
      section: { type: 'string' },
      'dry-run': { type: 'boolean' },
    },
    positionals: ['FILE'],
    run: (context, args) =>
      pipe(
        readCsvTable(context, args),
        TE.chain((file) => applyFile(context, args, file)),
      ),
  },
  {
    name: 'table export',
    usage: '[--format json|csv] [--section S] [--number N]',
    summary:
      'export the newest or a given number as JSON, or one section as CSV',
    options: {
      format: { type: 'string' },
      section: { type: 'string' },
      number: { type: 'string' },
    },
    positionals: [],
    run: ({ call }, args) =>
      pipe(
        TE.fromEither(wholeNumberOption(args, 'number')),
        TE.chain((number) => readTable(call, number)),
        TE.chainEitherK((table) => exportTable(table, args)),
      ),
  },
  {
    name: 'table history',
    usage: '',
    summary: 'list the stored numbers, newest first',
    options: {},
    positionals: [],
    run: ({ call }) =>
      pipe(
        call({ path: '/v1/table/history', schema: tableHistoryBodySchema }),
        TE.map((json) => ({
          json,
          text: formatColumns(
            json.versions.toReversed().map((version) => ({
              ...version,
              at: new Date(version.atUnixMs).toISOString(),
            })),
            ['number', 'at', 'author', 'note'],
          ),
        })),
      ),
  },
  {
    name: 'table rollback',
    usage: `N  ${EDIT_USAGE}`,
    summary: 'restore the content of a stored number as a new number',
    options: EDIT_OPTIONS,
    positionals: ['N'],
    run: (context, args) =>
      pipe(
        TE.fromEither(parseWholeNumber(args.positionals[0] ?? '', 'N')),
        TE.chain((number) =>
          sendEdit(context, args, {
            path: '/v1/table/rollbacks',
            body: { number },
          }),
        ),
      ),
  },
];

function sendChanges(
  context: CommandContext,
  args: CommandArgs,
  changes: ReturnType<typeof toChanges>,
): TE.TaskEither<CliError, CommandResult> {
  if (changes.length === 0) {
    return TE.right({ text: 'nothing to change\n', json: { changes: [] } });
  }
  return sendEdit(context, args, {
    path: '/v1/table/edits',
    body: { changes },
  });
}

function applyFile(
  context: CommandContext,
  args: CommandArgs,
  file: TableFile,
): TE.TaskEither<CliError, CommandResult> {
  if (args.values['dry-run'] === true) return previewFile(context, file);
  return sendEdit(context, args, {
    path: '/v1/table/replacements',
    body: { baseNumber: file.base.number, document: file.document },
  });
}

/** Previews the changes of a file and its conflicts with the newest number. */
function previewFile(
  context: CommandContext,
  { base, document }: TableFile,
): TE.TaskEither<CliError, CommandResult> {
  return pipe(
    readTable(context.call),
    TE.map((newest) => {
      const changes = diffTables(base.document, document);
      const merged = mergeTables({
        base: base.document,
        mine: document,
        theirs: newest.document,
      });
      const conflicts = E.isLeft(merged) ? merged.left : [];
      const conflictLines = conflicts.map(
        ({ section, address, cell }) =>
          `! ${section} ${address.join('/')} ${cell}: changed since number ${base.number}\n`,
      );
      return {
        text: [formatChanges(changes), ...conflictLines].join(''),
        json: { baseNumber: base.number, changes, conflicts },
        exitCode: conflicts.length > 0 ? EXIT_CODES.conflict : EXIT_CODES.ok,
      };
    }),
  );
}

function showSection(
  { number, document }: TableBody,
  args: CommandArgs,
): E.Either<CliError, CommandResult> {
  return pipe(
    sectionOf(args),
    E.map((section) => {
      const filters = ['workspace', 'service', 'kind', 'model'].flatMap(
        (field) => {
          const value = textOption(args, field);
          return value === undefined ? [] : [[field, value] as const];
        },
      );
      const records = [...document[section]].filter((record) =>
        filters.every(
          ([field, value]) =>
            (record as Readonly<Record<string, unknown>>)[field] === value,
        ),
      );
      return {
        text: formatColumns(records, tableCsvColumns(section)),
        json: { number, [section]: records },
        notice: `number ${number}`,
      };
    }),
  );
}

function exportTable(
  { number, document }: TableBody,
  args: CommandArgs,
): E.Either<CliError, CommandResult> {
  const json = { baseNumber: number, ...document };
  const notice = `number ${number}`;
  if (textOption(args, 'format') !== 'csv') {
    const text = `${JSON.stringify(json, undefined, 2)}\n`;
    return E.right({ text, json, notice });
  }
  return pipe(
    sectionOf(args),
    E.map((section) => ({
      text: exportTableCsv(document, section),
      json,
      notice: `${notice}; import it with --base ${number}`,
    })),
  );
}
