import * as E from 'fp-ts/lib/Either.js';
import { z } from 'zod';
import {
  WILDCARD,
  tableDocumentSchema,
  type TableDocument,
  type TableFinding,
  type TableSection,
} from '@endivegate/contracts';
import {
  ADDRESS_FIELDS,
  TABLE_SECTIONS,
  recordKey,
} from '../tableRecords/index.ts';

interface TableIssue {
  readonly path: PropertyKey[];
  readonly message: string;
}

/**
 * Schema of a table as operators write it: form and meaning are checked in
 * one pass, so that all findings come together.
 */
export const tableInputSchema = z
  .unknown()
  .transform((value, context): TableDocument => {
    const parsed = tableDocumentSchema.safeParse(value);
    const issues = [
      ...(parsed.error?.issues ?? []).flatMap(splitUnknownKeys),
      ...findIssues(value),
    ];
    issues.forEach((issue) => {
      context.issues.push({ code: 'custom', input: value, ...issue });
    });
    return parsed.data ?? { rows: [], workspaces: [], models: [] };
  });

/**
 * Checks a table and collects every finding with its place.
 *
 * @param value - A table of unknown form.
 * @returns The table, or all findings.
 *
 * @example
 * validateTable({ rows: [{ workspace: 'a', service: '*', kind: '*' }] });
 */
export function validateTable(
  value: unknown,
): E.Either<readonly TableFinding[], TableDocument> {
  const parsed = tableInputSchema.safeParse(value);
  if (parsed.success) return E.right(parsed.data);
  return E.left(
    parsed.error.issues.map(({ path, message }) => ({
      place: formatPath(path),
      message,
    })),
  );
}

function splitUnknownKeys(issue: z.core.$ZodIssue): readonly TableIssue[] {
  if (issue.code !== 'unrecognized_keys') {
    return [{ path: [...issue.path], message: issue.message }];
  }
  return issue.keys.map((key) => ({
    path: [...issue.path, key],
    message: 'unknown key',
  }));
}

/** Finds what the schema of single records cannot see. */
function findIssues(value: unknown): readonly TableIssue[] {
  return [
    ...TABLE_SECTIONS.flatMap((section) => findRepeated(value, section)),
    ...findUnknownWorkspaces(value),
    ...findSharedTokens(value),
  ];
}

function findRepeated(
  value: unknown,
  section: TableSection,
): readonly TableIssue[] {
  const fields = ADDRESS_FIELDS[section];
  const keys = recordsOf(value, section).map((record) => {
    const address = fields.map((field) => record[field]);
    return address.every((part) => typeof part === 'string')
      ? recordKey(section, address)
      : undefined;
  });
  const firsts = new Map(
    keys.map((key, index) => [key, index] as const).toReversed(),
  );
  return keys.flatMap((key, index) => {
    const first = firsts.get(key) ?? index;
    if (key === undefined || first === index) return [];
    const message = `same address as ${section}[${first}]`;
    return [{ path: [section, index], message }];
  });
}

function findUnknownWorkspaces(value: unknown): readonly TableIssue[] {
  const known = new Set([
    WILDCARD,
    ...recordsOf(value, 'workspaces').map(({ workspace }) => workspace),
  ]);
  return recordsOf(value, 'rows').flatMap(({ workspace }, index) =>
    typeof workspace !== 'string' || known.has(workspace)
      ? []
      : [
          {
            path: ['rows', index, 'workspace'],
            message: `workspace ${JSON.stringify(workspace)} is not in workspaces`,
          },
        ],
  );
}

function findSharedTokens(value: unknown): readonly TableIssue[] {
  const hashes = recordsOf(value, 'workspaces').flatMap((record, index) =>
    arrayOf(record.tokenSha256).map((hash, position) => ({
      hash,
      path: ['workspaces', index, 'tokenSha256', position],
    })),
  );
  const firsts = new Map(
    hashes.toReversed().map((entry) => [entry.hash, entry] as const),
  );
  return hashes
    .filter((entry) => firsts.get(entry.hash) !== entry)
    .map(({ path }) => ({ path, message: 'token hash is used twice' }));
}

function recordsOf(
  value: unknown,
  section: TableSection,
): readonly Record<string, unknown>[] {
  if (typeof value !== 'object' || value === null) return [];
  const records = arrayOf((value as Record<string, unknown>)[section]);
  return records.map((record) =>
    typeof record === 'object' && record !== null
      ? (record as Record<string, unknown>)
      : {},
  );
}

function arrayOf(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

function formatPath(path: readonly PropertyKey[]): string {
  return path.reduce<string>((text, key) => {
    if (typeof key === 'number') return `${text}[${key}]`;
    return text === '' ? String(key) : `${text}.${String(key)}`;
  }, '');
}
