import * as E from 'fp-ts/lib/Either.js';
import {
  tableDocumentSchema,
  tableRootSchema,
  type TableDocument,
} from '@endivegate/contracts';
import { isIntactTableValue, type TableValue } from '../splitTable/index.ts';

/** Why values do not make up a table. */
export type JoinTableError =
  | { readonly type: 'missing'; readonly keys: readonly string[] }
  /** The value is not the one that its key names, or has another form. */
  | { readonly type: 'damaged'; readonly key: string };

/**
 * Reads the chunk keys out of a root's value.
 *
 * @param root - The root as read.
 * @returns The keys of the table's chunks, or that the value is damaged.
 */
export function readTableRoot(
  root: TableValue,
): E.Either<JoinTableError, readonly string[]> {
  if (!isIntactTableValue(root)) return E.left(damaged(root.key));
  const parsed = tableRootSchema.safeParse(parseJson(root.value));
  return parsed.success
    ? E.right(parsed.data.chunkKeys)
    : E.left(damaged(root.key));
}

/**
 * Joins chunks to the table they make up.
 *
 * @param chunkKeys - Keys named by the root, in order.
 * @param values - Chunk values by key.
 * @returns The table, or which chunks are missing or damaged; never a part.
 *
 * @example
 * joinTable(chunkKeys, cache); // right(document)
 */
export function joinTable(
  chunkKeys: readonly string[],
  values: ReadonlyMap<string, string>,
): E.Either<JoinTableError, TableDocument> {
  const missing = chunkKeys.filter((key) => !values.has(key));
  if (missing.length > 0) return E.left({ type: 'missing', keys: missing });
  const chunks = chunkKeys.map((key) => ({
    key,
    document: readChunk({ key, value: values.get(key) ?? '' }),
  }));
  const broken = chunks.find(({ document }) => document === undefined);
  if (broken) return E.left(damaged(broken.key));
  return E.right({
    rows: chunks.flatMap(({ document }) => document?.rows ?? []),
    workspaces: chunks.flatMap(({ document }) => document?.workspaces ?? []),
    models: chunks.flatMap(({ document }) => document?.models ?? []),
  });
}

function readChunk(chunk: TableValue): TableDocument | undefined {
  if (!isIntactTableValue(chunk)) return undefined;
  return tableDocumentSchema.safeParse(parseJson(chunk.value)).data;
}

function damaged(key: string): JoinTableError {
  return { type: 'damaged', key };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
