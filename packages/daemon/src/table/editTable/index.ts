import * as E from 'fp-ts/lib/Either.js';
import { pipe } from 'fp-ts/lib/function.js';
import * as A from 'fp-ts/lib/ReadonlyArray.js';
import * as T from 'fp-ts/lib/Task.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import {
  TABLE_MANIFEST_KEY,
  type PlatformError,
  type TableChange,
  type TableConflict,
  type TableDocument,
  type TableFinding,
  type TableVersion,
} from '@endivegate/contracts';
import {
  diffTables,
  pruneTableHistory,
  retryDelay,
  splitTable,
  validateTable,
  type SplitTable,
  type TableValue,
  type UnvalidatedTable,
} from '@endivegate/core';
import {
  readManifest,
  readSnapshot,
  type ReadTableError,
  type StoredManifest,
  type TableSnapshot,
  type TableStore,
} from '../readTable/index.ts';

/** Why an edit was not accepted. */
export type EditTableError =
  | ReadTableError
  | { readonly type: 'conflicts'; readonly conflicts: readonly TableConflict[] }
  | { readonly type: 'invalid'; readonly findings: readonly TableFinding[] }
  /** The edit may have been accepted; resending it with its token tells. */
  | { readonly type: 'inDoubt'; readonly editToken: string };

/** An edit of the table. */
export interface TableEdit {
  /** Identifies the edit; a resent edit has the same token. */
  readonly editToken: string;
  readonly author: string;
  readonly note: string;
  /** Computes the new table from the newest one; called once per attempt. */
  readonly change: (
    current: TableSnapshot,
    stored: StoredManifest,
  ) => TE.TaskEither<EditTableError, UnvalidatedTable>;
}

/** Outcome of an accepted edit. */
export interface AcceptedEdit {
  readonly number: number;
  /** Cells that the edit changed; empty when it changed none. */
  readonly changes: readonly TableChange[];
  readonly document: TableDocument;
  readonly rootKey: string;
  /**
   * All chunks and the root of the new version; absent when nothing was written
   * or when the edit had been accepted earlier.
   */
  readonly values?: readonly TableValue[];
}

/** Options of {@link editTable}. */
export interface EditTableOptions {
  readonly nowUnixMs: () => number;
  readonly random: () => number;
  readonly sleep: (delayMs: number) => Promise<void>;
  /** Version number active in this entry; a new version number is larger. */
  readonly activeNumber?: number;
  /** Maximum number of attempts. */
  readonly maxAttempts?: number;
}

const DEFAULTS = { activeNumber: 0, maxAttempts: 12 };

/** Timeout of one write to the store. */
const WRITE_TIMEOUT_MS = 3_000;

/** Maximum delay between two attempts. */
const MAX_RETRY_DELAY_MS = 2_000;

interface Attempt {
  readonly index: number;
  /** Whether a manifest swap of this edit got no reply. */
  readonly isInDoubt: boolean;
}

type Context = Required<EditTableOptions> & {
  readonly store: TableStore;
  readonly edit: TableEdit;
};

/**
 * Writes an edit to the store atomically, at most once, and without
 * overwriting concurrent changes.
 *
 * Chunks are written first, then the manifest is replaced by compare-and-swap.
 * If the swap fails because the manifest changed, the edit is applied again to
 * the newer table. If the swap gets no reply, the manifest is read again: the
 * edit was accepted if its token is in the history.
 *
 * @param store - Store of the table.
 * @param edit - The edit.
 * @param options - Clock, random numbers and limits.
 * @returns The accepted edit, or why it was not accepted.
 */
export function editTable(
  store: TableStore,
  edit: TableEdit,
  options: EditTableOptions,
): TE.TaskEither<EditTableError, AcceptedEdit> {
  const context = { ...DEFAULTS, ...options, store, edit };
  return runAttempt(context, { index: 1, isInDoubt: false });
}

function runAttempt(
  context: Context,
  current: Attempt,
): TE.TaskEither<EditTableError, AcceptedEdit> {
  return pipe(
    readManifest(context.store),
    TE.bindTo('stored'),
    TE.bind('snapshot', ({ stored }) =>
      readSnapshot(context.store, stored.manifest?.history.at(-1)),
    ),
    TE.foldW(
      (error) => retryOrFail(context, current, error),
      ({ stored, snapshot }) => {
        const accepted = findEdit(stored, context.edit.editToken);
        return accepted
          ? restoreAcceptedEdit(context, current, accepted)
          : applyEdit(context, current, { stored, snapshot });
      },
    ),
  );
}

interface EditBase {
  readonly stored: StoredManifest;
  readonly snapshot: TableSnapshot;
}

function applyEdit(
  context: Context,
  current: Attempt,
  base: EditBase,
): TE.TaskEither<EditTableError, AcceptedEdit> {
  return pipe(
    context.edit.change(base.snapshot, base.stored),
    TE.chainEitherKW(checkTable),
    TE.foldW(
      (error) =>
        isReadError(error)
          ? retryOrFail(context, current, error)
          : TE.left(error),
      (document) => writeDocument(context, current, { ...base, document }),
    ),
  );
}

function checkTable(
  table: UnvalidatedTable,
): E.Either<EditTableError, TableDocument> {
  return pipe(
    validateTable(table),
    E.mapLeft((findings): EditTableError => ({ type: 'invalid', findings })),
  );
}

function isReadError(error: EditTableError): error is ReadTableError {
  return error.type === 'store' || error.type === 'damaged';
}

function writeDocument(
  context: Context,
  current: Attempt,
  result: EditBase & { readonly document: TableDocument },
): TE.TaskEither<EditTableError, AcceptedEdit> {
  const { snapshot, stored, document } = result;
  const changes = diffTables(snapshot.document, document);
  return changes.length === 0 && stored.manifest !== undefined
    ? TE.right(unchangedEdit(result))
    : writeVersion(context, current, { ...result, changes });
}

function unchangedEdit({ stored, snapshot }: EditBase): AcceptedEdit {
  return {
    number: snapshot.number,
    changes: [],
    document: snapshot.document,
    rootKey: stored.manifest?.history.at(-1)?.rootKey ?? '',
  };
}

type VersionDraft = EditBase & {
  readonly document: TableDocument;
  readonly changes: readonly TableChange[];
};

function writeVersion(
  context: Context,
  current: Attempt,
  draft: VersionDraft,
): TE.TaskEither<EditTableError, AcceptedEdit> {
  const split = splitTable(draft.document, {
    token: createWriteToken(context),
    baseChunkKeys: draft.snapshot.chunkKeys,
  });
  const version = nextVersion(context, draft, split);
  return pipe(
    writeValues(context, split.written),
    TE.mapLeft((error) => ({ error, isInDoubt: false })),
    TE.chain(() =>
      pipe(
        swapManifest(context, draft.stored, version),
        TE.mapLeft((error) => ({
          error,
          isInDoubt: error.type === 'replyLost',
        })),
      ),
    ),
    TE.foldW(
      ({ error, isInDoubt }) =>
        retryOrFail(
          context,
          { ...current, isInDoubt: current.isInDoubt || isInDoubt },
          { type: 'store', error },
        ),
      () =>
        TE.right({
          number: version.number,
          changes: draft.changes,
          document: draft.document,
          rootKey: split.rootKey,
          values: split.values,
        }),
    ),
  );
}

/** Unique per attempt, even when an edit is sent to several entries. */
function createWriteToken(context: Context): string {
  const suffix = Math.floor(context.random() * 2 ** 52).toString(36);
  return `${context.edit.editToken}.${suffix}`;
}

function nextVersion(
  context: Context,
  draft: VersionDraft,
  split: SplitTable,
): TableVersion {
  const { editToken, author, note } = context.edit;
  return {
    number: Math.max(draft.snapshot.number, context.activeNumber) + 1,
    rootKey: split.rootKey,
    editToken,
    author,
    note,
    atUnixMs: context.nowUnixMs(),
  };
}

function writeValues(
  context: Context,
  values: readonly TableValue[],
): TE.TaskEither<PlatformError, readonly unknown[]> {
  return pipe(
    values,
    A.traverse(TE.ApplicativePar)(({ key, value }) =>
      context.store.platform.compareAndSwap(
        { key, value, expectedVersion: 0 },
        { purpose: 'table', timeoutMs: WRITE_TIMEOUT_MS },
      ),
    ),
  );
}

function swapManifest(
  context: Context,
  stored: StoredManifest,
  version: TableVersion,
): TE.TaskEither<PlatformError, unknown> {
  const history = pruneTableHistory(
    [...(stored.manifest?.history ?? []), version],
    version.atUnixMs,
  );
  const collections = stored.manifest?.collections ?? 0;
  return context.store.platform.compareAndSwap(
    {
      key: TABLE_MANIFEST_KEY,
      value: JSON.stringify({ history, collections }),
      expectedVersion: stored.version,
    },
    { purpose: 'table', timeoutMs: WRITE_TIMEOUT_MS },
  );
}

function retryOrFail(
  context: Context,
  failed: Attempt,
  error: ReadTableError,
): TE.TaskEither<EditTableError, AcceptedEdit> {
  const { editToken } = context.edit;
  if (failed.index >= context.maxAttempts || !isTransient(error)) {
    return TE.left(failed.isInDoubt ? { type: 'inDoubt', editToken } : error);
  }
  const delayMs = retryDelay(failed.index, context.random(), {
    maxMs: MAX_RETRY_DELAY_MS,
  });
  return pipe(
    (() => context.sleep(delayMs)) as T.Task<void>,
    T.chain(() => runAttempt(context, { ...failed, index: failed.index + 1 })),
  );
}

/** Checks whether a later attempt may succeed. */
function isTransient(error: ReadTableError): boolean {
  return (
    error.type === 'damaged' ||
    (error.type === 'store' && error.error.type !== 'valueTooLarge')
  );
}

/** The version that an edit created, and the version before it. */
interface AcceptedVersion {
  readonly version: TableVersion;
  readonly before: TableVersion | undefined;
}

function findEdit(
  stored: StoredManifest,
  editToken: string,
): AcceptedVersion | undefined {
  const history = stored.manifest?.history ?? [];
  const index = history.findIndex((entry) => entry.editToken === editToken);
  const version = history[index];
  if (version === undefined) return undefined;
  return { version, before: history[index - 1] };
}

/** Reads back the result of an edit that was accepted earlier. */
function restoreAcceptedEdit(
  context: Context,
  current: Attempt,
  accepted: AcceptedVersion,
): TE.TaskEither<EditTableError, AcceptedEdit> {
  const { version, before } = accepted;
  return pipe(
    readSnapshot(context.store, version),
    TE.bindTo('after'),
    TE.bind('before', () => readSnapshot(context.store, before)),
    TE.foldW(
      (error) => retryOrFail(context, { ...current, isInDoubt: true }, error),
      (snapshots) =>
        TE.right({
          number: version.number,
          changes: diffTables(
            snapshots.before.document,
            snapshots.after.document,
          ),
          document: snapshots.after.document,
          rootKey: version.rootKey,
        }),
    ),
  );
}
