import { createHash } from 'node:crypto';
import {
  TABLE_CHUNK_MAX_BYTES,
  TABLE_CHUNK_PREFIX,
  type TableDocument,
  type TableRoot,
  type TableSection,
} from '@endivegate/contracts';
import {
  fromRecord,
  fromTableRecords,
  recordKey,
  toTableRecords,
  type TableRecord,
} from '../tableRecords/index.ts';

/** An immutable chunk or root; its key contains its content hash. */
export interface TableValue {
  readonly key: string;
  readonly value: string;
}

/** A table in the form in which the store holds it. */
export interface SplitTable {
  readonly rootKey: string;
  /** Values that the store does not have yet; the root comes last. */
  readonly written: readonly TableValue[];
  readonly chunkKeys: readonly string[];
  /** All values of the table, including those already in the store. */
  readonly values: readonly TableValue[];
}

/** Options of {@link splitTable}. */
export interface SplitTableOptions {
  /** Unique per attempt, so that the key of a deleted value is never reused. */
  readonly token: string;
  /** Chunk keys of the base version; reused for chunks with equal content. */
  readonly baseChunkKeys?: readonly string[];
  /** Mean number of records per chunk. */
  readonly meanRecords?: number;
  /** Maximum size of a chunk's value; a single larger record is not split. */
  readonly maxBytes?: number;
}

const DEFAULTS = {
  baseChunkKeys: [] as readonly string[],
  meanRecords: 256,
  maxBytes: TABLE_CHUNK_MAX_BYTES,
};

/** Upper bound on the size of a chunk's JSON without its records. */
const CHUNK_OVERHEAD_BYTES = 64;

/** Number of hex digits of the content hash that a key contains. */
const HASH_HEX_DIGITS = 32;

/**
 * Splits a table into content-addressed chunks and a root that lists them.
 *
 * Chunk boundaries depend only on the addresses of the records, so that an
 * edit changes only the chunk that contains the edited record, except where
 * a chunk is cut at the maximum size.
 *
 * @param document - A valid table.
 * @param options - Token of the attempt, reusable chunks and chunk sizes.
 * @returns The root's key, and the values to write before the manifest refers
 * to it.
 *
 * @example
 * const { rootKey, written } = splitTable(document, { token: 'a1' });
 */
export function splitTable(
  document: TableDocument,
  options: SplitTableOptions,
): SplitTable {
  const { token, baseChunkKeys, meanRecords, maxBytes } = {
    ...DEFAULTS,
    ...options,
  };
  const records = [...toTableRecords(document).values()];
  const groups = groupIntoChunks(records, { meanRecords, maxBytes });
  const baseKeyByHash = new Map(
    baseChunkKeys.map((key) => [hashOfKey(key), key]),
  );
  const chunks = groups.map((group) =>
    toTableValue(JSON.stringify(toChunk(group)), token, baseKeyByHash),
  );
  const root: TableRoot = { chunkKeys: chunks.map(({ key }) => key) };
  const rootValue = toTableValue(JSON.stringify(root), token, new Map());
  const baseKeys = new Set(baseChunkKeys);
  return {
    rootKey: rootValue.key,
    chunkKeys: root.chunkKeys,
    values: [...chunks, rootValue],
    written: [...chunks.filter(({ key }) => !baseKeys.has(key)), rootValue],
  };
}

/**
 * Checks a value against the content hash in its key.
 *
 * @param entry - A key and the value read for it.
 * @returns Whether the hash of the value matches the key.
 */
export function isIntactTableValue(entry: TableValue): boolean {
  return hashOfKey(entry.key) === contentHash(entry.value);
}

function toTableValue(
  value: string,
  token: string,
  reusableKeyByHash: ReadonlyMap<string, string>,
): TableValue {
  const hash = contentHash(value);
  const key =
    reusableKeyByHash.get(hash) ?? `${TABLE_CHUNK_PREFIX}${hash}.${token}`;
  return { key, value };
}

function contentHash(value: string): string {
  return createHash('sha256')
    .update(value)
    .digest('hex')
    .slice(0, HASH_HEX_DIGITS);
}

function hashOfKey(key: string): string {
  const start = TABLE_CHUNK_PREFIX.length;
  return key.slice(start, start + HASH_HEX_DIGITS);
}

function toChunk(
  records: readonly TableRecord[],
): Record<TableSection, unknown[]> {
  return fromTableRecords(
    new Map(
      records.map((record) => [
        recordKey(record.section, record.address),
        record,
      ]),
    ),
  );
}

interface ChunkLimits {
  readonly meanRecords: number;
  readonly maxBytes: number;
}

function groupIntoChunks(
  records: readonly TableRecord[],
  limits: ChunkLimits,
): readonly (readonly TableRecord[])[] {
  const groups: TableRecord[][] = [];
  let group: TableRecord[] = [];
  let groupBytes = CHUNK_OVERHEAD_BYTES;
  records.forEach((record) => {
    const bytes = Buffer.byteLength(JSON.stringify(fromRecord(record))) + 1;
    if (group.length > 0 && groupBytes + bytes > limits.maxBytes) closeGroup();
    group.push(record);
    groupBytes += bytes;
    if (isChunkBoundary(record, limits.meanRecords)) closeGroup();
  });
  if (group.length > 0) closeGroup();
  return groups;

  function closeGroup(): void {
    groups.push(group);
    group = [];
    groupBytes = CHUNK_OVERHEAD_BYTES;
  }
}

function isChunkBoundary(record: TableRecord, meanRecords: number): boolean {
  const key = recordKey(record.section, record.address);
  const digest = createHash('sha256').update(key).digest();
  return digest.readUInt32BE(0) % meanRecords === 0;
}
