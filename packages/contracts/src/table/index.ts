import { z } from 'zod';
import { tableRowSchema } from '../tableRow/index.ts';

/** Key of the table's manifest, the only mutable value of the table. */
export const TABLE_MANIFEST_KEY = 'table/manifest';

/** Prefix of the keys of the table's immutable chunks and roots. */
export const TABLE_CHUNK_PREFIX = 'table/chunk/';

/** Maximum size of a chunk, well below the store's limit of one megabyte. */
export const TABLE_CHUNK_MAX_BYTES = 256 * 1024;

/** A workspace and the SHA-256 hashes, in hex, of its bearer tokens. */
export const workspaceRecordSchema = z.strictObject({
  workspace: z.string().min(1).max(128),
  /** Several hashes allow tokens to be rotated without downtime. */
  tokenSha256: z.array(z.string().regex(/^[0-9a-f]{64}$/)).max(4),
});

/** A workspace and the hashes of its bearer tokens. */
export type WorkspaceRecord = z.infer<typeof workspaceRecordSchema>;

/** Wanted deployment of a model: the number of engines for each role. */
export const wantedModelSchema = z.strictObject({
  model: z.string().min(1).max(128),
  version: z.string().min(1).max(128),
  adapters: z.array(z.string().min(1).max(128)).max(64),
  mixedEngines: z.number().int().nonnegative().max(100_000),
  longEngines: z.number().int().nonnegative().max(100_000),
  shortEngines: z.number().int().nonnegative().max(100_000),
});

/** Wanted deployment of a model. */
export type WantedModel = z.infer<typeof wantedModelSchema>;

/** The operators' complete table; also the format of each of its chunks. */
export const tableDocumentSchema = z.strictObject({
  rows: z.array(tableRowSchema).default([]),
  workspaces: z.array(workspaceRecordSchema).default([]),
  models: z.array(wantedModelSchema).default([]),
});

/** The operators' complete table; also the format of each of its chunks. */
export type TableDocument = z.infer<typeof tableDocumentSchema>;

/** Immutable list of the chunks that make up one version of the table. */
export const tableRootSchema = z.strictObject({
  chunkKeys: z.array(z.string().startsWith(TABLE_CHUNK_PREFIX)),
});

/** Immutable list of the chunks that make up one version of the table. */
export type TableRoot = z.infer<typeof tableRootSchema>;

/** An accepted version of the table, as recorded in the manifest's history. */
export const tableVersionSchema = z.strictObject({
  number: z.number().int().positive(),
  rootKey: z.string().startsWith(TABLE_CHUNK_PREFIX),
  /** Token of the edit, by which an editor recognizes its own edit. */
  editToken: z.string().min(1).max(128),
  author: z.string().min(1).max(128),
  note: z.string().max(1_000),
  atUnixMs: z.number().int().nonnegative(),
});

/** An accepted version of the table. */
export type TableVersion = z.infer<typeof tableVersionSchema>;

/**
 * Manifest of the table: the version in force and the earlier ones.
 *
 * It is changed by compare-and-swap only. The last element of `history` is the
 * version in force. The chunks of all versions in `history` stay readable.
 */
export const tableManifestSchema = z.strictObject({
  history: z.array(tableVersionSchema).min(1),
  /** Incremented by the garbage collector, so that an edit based on an older read
   * fails its compare-and-swap and is retried. */
  collections: z.number().int().nonnegative(),
});

/** Manifest of the table: the version in force and the earlier ones. */
export type TableManifest = z.infer<typeof tableManifestSchema>;

/** Sections of the table. */
export const tableSectionSchema = z.enum(['rows', 'workspaces', 'models']);

/** Section of the table. */
export type TableSection = z.infer<typeof tableSectionSchema>;

/** Value of one cell; `null` stands for an absent cell. */
export const tableCellValueSchema = z.union([
  z.number(),
  z.string(),
  z.boolean(),
  z.array(z.string()),
  z.null(),
]);

/** Value of one cell; `null` stands for an absent cell. */
export type TableCellValue = z.infer<typeof tableCellValueSchema>;

/** Name of the cell that represents the existence of a record. */
export const RECORD_CELL = '(record)';

/**
 * Change of one cell.
 *
 * `before` is the value that the author saw. A different value in force is a
 * conflict, unless it already equals `after`.
 */
export const tableChangeSchema = z.strictObject({
  section: tableSectionSchema,
  /** Address parts: workspace, service and kind, or a single name. */
  address: z.array(z.string().min(1).max(128)).min(1).max(3),
  /** Name of the cell, or {@link RECORD_CELL} with `true` or `null`. */
  cell: z.string().min(1).max(64),
  before: tableCellValueSchema,
  after: tableCellValueSchema,
});

/** Change of one cell. */
export type TableChange = z.infer<typeof tableChangeSchema>;

/** Two authors changed the same cell to different values. */
export const tableConflictSchema = z.strictObject({
  section: tableSectionSchema,
  address: z.array(z.string()),
  cell: z.string(),
  before: tableCellValueSchema,
  mine: tableCellValueSchema,
  mineAuthor: z.string(),
  theirs: tableCellValueSchema,
  theirsAuthor: z.string(),
});

/** Two authors changed the same cell to different values. */
export type TableConflict = z.infer<typeof tableConflictSchema>;

/** A problem in a table, with its location. */
export const tableFindingSchema = z.strictObject({
  /** Path such as `rows[2].weight`, or a file with line and column. */
  place: z.string(),
  message: z.string(),
});

/** A problem in a table, with its location. */
export type TableFinding = z.infer<typeof tableFindingSchema>;
