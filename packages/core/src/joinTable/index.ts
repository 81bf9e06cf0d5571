import * as E from 'fp-ts/lib/Either.js';
import {
  tableDocumentSchema,
  tableRootSchema,
  type TableDocument,
} from '@endivegate/contracts';
import { isIntactTableValue, type TableValue } from '../splitTable/index.ts';

/** Reason why a table cannot be assembled from its stored values. */
export type JoinTableError =
  | { readonly type: 'missing'; readonly keys: readonly string[] }
  /** The value does not match the hash in its key, or is malformed. */
  | { readonly type: 'damaged'; readonly key: string };

/**
 * Parses a root and returns its chunk keys.
 *
 * @param root - Key and value of the root, as read from the store or a peer.
 * @returns The keys of the table's chunks, or an error if the root is damaged.
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
 * Assembles a table from its chunks.
 *
 * @param chunkKeys - Chunk keys in the order of the root.
 * @param values - Chunk values by key.
 * @returns The complete table, or the missing chunks or a damaged one.
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
  const firstDamaged = chunks.find(({ document }) => document === undefined);
  if (firstDamaged) return E.left(damaged(firstDamaged.key));
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
