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

/** An immutable value of the table, named by its content. */
export interface TableValue {
  readonly key: string;
  readonly value: string;
}

/** A table as it is written to the store. */
export interface SplitTable {
  readonly rootKey: string;
  /** Values that the store does not hold yet; the root comes last. */
  readonly written: readonly TableValue[];
  readonly chunkKeys: readonly string[];
  /** Every value of the table, those in the store included. */
  readonly values: readonly TableValue[];
}

/** Options of {@link splitTable}. */
export interface SplitTableOptions {
  /** Unique per try, so that a collected key is never named again. */
  readonly token: string;
  /** Chunk keys of the number that the edit is based on; reused if equal. */
  readonly baseChunkKeys?: readonly string[];
  /** Mean number of records in a chunk. */
  readonly meanRecords?: number;
  readonly maxBytes?: number;
}

const DEFAULTS = {
  baseChunkKeys: [] as readonly string[],
  meanRecords: 256,
  maxBytes: TABLE_CHUNK_MAX_BYTES,
};

/** Size of a chunk's value without its records, at most. */
const CHUNK_FRAME_BYTES = 64;

/** Length of the content hash in a key, in hex digits. */
const HASH_DIGITS = 32;

/**
 * Splits a table into chunks named by content hash, and their root.
 *
 * Chunk bounds depend on the records' own addresses, so that an edit changes
 * only the chunk that holds the edited record.
 *
 * @param document - A valid table.
 * @param options - Token of the try, and chunks that may be named again.
 * @returns The root's key and the values to write before it is named.
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
  const groups = groupRecords(records, { meanRecords, maxBytes });
  const knownKeys = new Map(baseChunkKeys.map((key) => [hashOfKey(key), key]));
  const chunks = groups.map((group) =>
    toTableValue(JSON.stringify(chunkOf(group)), token, knownKeys),
  );
  const root: TableRoot = { chunkKeys: chunks.map(({ key }) => key) };
  const rootValue = toTableValue(JSON.stringify(root), token, new Map());
  const known = new Set(baseChunkKeys);
  return {
    rootKey: rootValue.key,
    chunkKeys: root.chunkKeys,
    values: [...chunks, rootValue],
    written: [...chunks.filter(({ key }) => !known.has(key)), rootValue],
  };
}

/**
 * Tells whether a value is the one that its key names.
 *
 * @param entry - A key and the value read for it.
 * @returns Whether the key's content hash is that of the value.
 */
export function isIntactTableValue(entry: TableValue): boolean {
  return hashOfKey(entry.key) === contentHash(entry.value);
}

function toTableValue(
  value: string,
  token: string,
  knownKeys: ReadonlyMap<string, string>,
): TableValue {
  const hash = contentHash(value);
  const key = knownKeys.get(hash) ?? `${TABLE_CHUNK_PREFIX}${hash}.${token}`;
  return { key, value };
}

function contentHash(value: string): string {
  return createHash('sha256').update(value).digest('hex').slice(0, HASH_DIGITS);
}

function hashOfKey(key: string): string {
  const start = TABLE_CHUNK_PREFIX.length;
  return key.slice(start, start + HASH_DIGITS);
}

function chunkOf(
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

interface GroupBounds {
  readonly meanRecords: number;
  readonly maxBytes: number;
}

function groupRecords(
  records: readonly TableRecord[],
  bounds: GroupBounds,
): readonly (readonly TableRecord[])[] {
  const groups: TableRecord[][] = [];
  let group: TableRecord[] = [];
  let groupBytes = CHUNK_FRAME_BYTES;
  records.forEach((record) => {
    const bytes = Buffer.byteLength(JSON.stringify(fromRecord(record))) + 1;
    if (group.length > 0 && groupBytes + bytes > bounds.maxBytes) close();
    group.push(record);
    groupBytes += bytes;
    if (isGroupEnd(record, bounds.meanRecords)) close();
  });
  if (group.length > 0) close();
  return groups;

  function close(): void {
    groups.push(group);
    group = [];
    groupBytes = CHUNK_FRAME_BYTES;
  }
}

function isGroupEnd(record: TableRecord, meanRecords: number): boolean {
  const key = recordKey(record.section, record.address);
  const digest = createHash('sha256').update(key).digest();
  return digest.readUInt32BE(0) % meanRecords === 0;
}
