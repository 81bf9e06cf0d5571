import {
  parseJsonc,
  tableBodySchema,
  tableSectionSchema,
  type TableBody,
  type TableDocument,
  type TableFinding,
  type TableSection,
} from '@endivegate/contracts';
import { importTableCsv, tableInputSchema } from '@endivegate/core';
import * as E from 'fp-ts/lib/Either.js';
import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import { z } from 'zod';
import type { CliError } from '../cliError.ts';
import type { AdminClient } from '../createAdminClient/index.ts';
import { EXIT_CODES } from '../exitCodes.ts';
import { textOption, usageError, wholeNumberOption } from './args.ts';
import type { CommandArgs, CommandContext } from './command.ts';

/** A table read from a file, and the table version that it is based on. */
export interface TableFile {
  readonly base: TableBody;
  readonly document: TableDocument;
}

const baseNumberSchema = z.object({
  baseNumber: z.number().int().nonnegative().optional(),
});

/** Schema of a table file: the sections of the table and its base number. */
const tableFileSchema = z.unknown().transform((value, context) => {
  const { baseNumber, ...table } = (value ?? {}) as Record<string, unknown>;
  const parsed = tableInputSchema.safeParse(table);
  const base = baseNumberSchema.safeParse({ baseNumber });
  const issues = [
    ...(parsed.error?.issues ?? []),
    ...(base.error?.issues ?? []),
  ];
  issues.forEach(({ path, message }) => {
    context.issues.push({ code: 'custom', input: value, path, message });
  });
  return {
    baseNumber: base.data?.baseNumber,
    document: parsed.data ?? { rows: [], workspaces: [], models: [] },
  };
});

/**
 * Reads a version of the table.
 *
 * @param call - Client of the operators' API.
 * @param number - Number of the version; the newest in the store by default.
 * @returns The table.
 */
export function readTable(
  call: AdminClient,
  number?: number,
): TE.TaskEither<CliError, TableBody> {
  const path =
    number === undefined ? '/v1/table' : `/v1/table/numbers/${number}`;
  return call({ path, schema: tableBodySchema });
}

/**
 * Reads a whole table from a JSON file with comments.
 *
 * @param context - File access and the API client.
 * @param args - The file, and `--base`, which overrides the file's `baseNumber`.
 * @returns The table and its base.
 */
export function readJsonTable(
  context: CommandContext,
  args: CommandArgs,
): TE.TaskEither<CliError, TableFile> {
  const file = args.positionals[0] ?? '-';
  return pipe(
    readFile(context, file),
    TE.chainEitherK((text) =>
      pipe(
        parseJsonc(text, tableFileSchema, { file }),
        E.mapLeft((findings) =>
          findingsError(
            findings.map(({ line, column, path, message }) => ({
              place: `${file}:${line}:${column} ${path}`.trim(),
              message,
            })),
          ),
        ),
      ),
    ),
    TE.bind('number', ({ baseNumber }) =>
      TE.fromEither(baseNumberOf(args, baseNumber)),
    ),
    TE.chain(({ number, document }) =>
      pipe(
        readTable(context.call, number),
        TE.map((base) => ({ base, document })),
      ),
    ),
  );
}

/**
 * Reads one section of the table from CSV; the others are taken from the base.
 *
 * @param context - File access and the API client.
 * @param args - The file, `--section` and `--base`.
 * @returns The table and its base.
 */
export function readCsvTable(
  context: CommandContext,
  args: CommandArgs,
): TE.TaskEither<CliError, TableFile> {
  const file = args.positionals[0] ?? '-';
  return pipe(
    TE.fromEither(sectionOf(args)),
    TE.bindTo('section'),
    TE.bind('number', () => TE.fromEither(baseNumberOf(args, undefined))),
    TE.bind('text', () => readFile(context, file)),
    TE.bind('records', ({ section, text }) =>
      TE.fromEither(
        pipe(importTableCsv(text, section, { file }), E.mapLeft(findingsError)),
      ),
    ),
    TE.chain(({ section, number, records }) =>
      pipe(
        readTable(context.call, number),
        TE.map((base) => ({
          base,
          document: { ...base.document, [section]: records },
        })),
      ),
    ),
  );
}

/**
 * Returns the section given by `--section`, or `rows` by default.
 *
 * @param args - Arguments of the command.
 * @returns The section, or a usage error.
 */
export function sectionOf(args: CommandArgs): E.Either<CliError, TableSection> {
  const parsed = tableSectionSchema.safeParse(
    textOption(args, 'section') ?? 'rows',
  );
  return parsed.success
    ? E.right(parsed.data)
    : E.left(usageError('--section must be rows, workspaces or models'));
}

/**
 * Creates the error for a table with findings.
 *
 * @param findings - Findings with their locations.
 * @returns The error.
 */
export function findingsError(findings: readonly TableFinding[]): CliError {
  return {
    exitCode: EXIT_CODES.findings,
    message: 'The table has findings; nothing was changed.',
    findings,
  };
}

/**
 * Reads a file or standard input.
 *
 * @param context - File access.
 * @param file - Name of the file, or `-` for standard input.
 * @returns The text, or an error if the file cannot be read.
 */
export function readFile(
  context: CommandContext,
  file: string,
): TE.TaskEither<CliError, string> {
  return TE.tryCatch(
    () => context.readText(file),
    (error) => ({
      exitCode: EXIT_CODES.failed,
      message: `Cannot read ${file}: ${String(error)}`,
    }),
  );
}

function baseNumberOf(
  args: CommandArgs,
  fileBaseNumber: number | undefined,
): E.Either<CliError, number> {
  return pipe(
    wholeNumberOption(args, 'base'),
    E.chain((optionBaseNumber) =>
      E.fromNullable(
        usageError(
          'base number is missing: set "baseNumber" in the file or use --base',
        ),
      )(optionBaseNumber ?? fileBaseNumber),
    ),
  );
}
