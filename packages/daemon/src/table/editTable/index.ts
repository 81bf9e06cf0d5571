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
  /** The edit may have been accepted; the same token tells, sent again. */
  | { readonly type: 'inDoubt'; readonly editToken: string };

/** An edit of the table. */
export interface TableEdit {
  /** Names the edit; the same edit sent again carries the same token. */
  readonly editToken: string;
  readonly author: string;
  readonly note: string;
  /** Makes the wanted table out of the one in force; may run repeatedly. */
  readonly change: (
    current: TableSnapshot,
    stored: StoredManifest,
  ) => TE.TaskEither<EditTableError, UnvalidatedTable>;
}

/** Outcome of an accepted edit. */
export interface AcceptedEdit {
  readonly number: number;
  /** Cells that the edit changed; empty when there was nothing to do. */
  readonly changes: readonly TableChange[];
  readonly document: TableDocument;
  readonly rootKey: string;
  /** The table's values as written; absent when another try wrote them. */
  readonly values?: readonly TableValue[];
}

/** Options of {@link editTable}. */
export interface EditTableOptions {
  readonly nowUnixMs: () => number;
  readonly random: () => number;
  readonly sleep: (delayMs: number) => Promise<void>;
  /** Number in force in this entry; a new number is larger. */
  readonly numberInForce?: number;
  /** Tries before the edit is given up. */
  readonly maxTries?: number;
}

const DEFAULTS = { numberInForce: 0, maxTries: 12 };

/** Time allowed for one write. */
const WRITE_TIMEOUT_MS = 3_000;

/** Bound of the pause between two tries. */
const MAX_PAUSE_MS = 2_000;

interface Try {
  readonly index: number;
  /** Whether a swap of this edit got no reply. */
  readonly isInDoubt: boolean;
}

type Context = Required<EditTableOptions> & {
  readonly store: TableStore;
  readonly edit: TableEdit;
};

/**
 * Brings an edit into the store: whole, once, and never over another's change.
 *
 * Chunks are written first, then the manifest is swapped. A swap that lost a
 * race is made again on the newer table. A swap without a reply is settled by
 * reading the manifest: the edit's token is in its history or not.
 *
 * @param store - Where the table is kept.
 * @param edit - The edit.
 * @param options - Time, randomness and bounds.
 * @returns The accepted number, or why nothing was accepted.
 */
export function editTable(
  store: TableStore,
  edit: TableEdit,
  options: EditTableOptions,
): TE.TaskEither<EditTableError, AcceptedEdit> {
  const context = { ...DEFAULTS, ...options, store, edit };
  return runTry(context, { index: 1, isInDoubt: false });
}

function runTry(
  context: Context,
  current: Try,
): TE.TaskEither<EditTableError, AcceptedEdit> {
  return pipe(
    readManifest(context.store),
    TE.bindTo('stored'),
    TE.bind('snapshot', ({ stored }) =>
      readSnapshot(context.store, stored.manifest?.history.at(-1)),
    ),
    TE.foldW(
      (error) => retryAfter(context, current, error),
      ({ stored, snapshot }) => {
        const accepted = findEdit(stored, context.edit.editToken);
        return accepted
          ? recallEdit(context, current, accepted)
          : commit(context, current, { stored, snapshot });
      },
    ),
  );
}

interface Base {
  readonly stored: StoredManifest;
  readonly snapshot: TableSnapshot;
}

function commit(
  context: Context,
  current: Try,
  base: Base,
): TE.TaskEither<EditTableError, AcceptedEdit> {
  return pipe(
    context.edit.change(base.snapshot, base.stored),
    TE.chainEitherKW(checkTable),
    TE.foldW(
      (error) =>
        isReadError(error)
          ? retryAfter(context, current, error)
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
  current: Try,
  wanted: Base & { readonly document: TableDocument },
): TE.TaskEither<EditTableError, AcceptedEdit> {
  const { snapshot, stored, document } = wanted;
  const changes = diffTables(snapshot.document, document);
  return changes.length === 0 && stored.manifest !== undefined
    ? TE.right(unchangedEdit(wanted))
    : writeNumber(context, current, { ...wanted, changes });
}

function unchangedEdit({ stored, snapshot }: Base): AcceptedEdit {
  return {
    number: snapshot.number,
    changes: [],
    document: snapshot.document,
    rootKey: stored.manifest?.history.at(-1)?.rootKey ?? '',
  };
}

type Draft = Base & {
  readonly document: TableDocument;
  readonly changes: readonly TableChange[];
};

function writeNumber(
  context: Context,
  current: Try,
  draft: Draft,
): TE.TaskEither<EditTableError, AcceptedEdit> {
  const split = splitTable(draft.document, {
    token: uniqueToken(context),
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
        retryAfter(
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

/** Unique per try, also when the same edit is sent to several entries. */
function uniqueToken(context: Context): string {
  const suffix = Math.floor(context.random() * 2 ** 52).toString(36);
  return `${context.edit.editToken}.${suffix}`;
}

function nextVersion(
  context: Context,
  draft: Draft,
  split: SplitTable,
): TableVersion {
  const { editToken, author, note } = context.edit;
  return {
    number: Math.max(draft.snapshot.number, context.numberInForce) + 1,
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

function retryAfter(
  context: Context,
  failed: Try,
  error: ReadTableError,
): TE.TaskEither<EditTableError, AcceptedEdit> {
  const { editToken } = context.edit;
  if (failed.index >= context.maxTries || !isPassing(error)) {
    return TE.left(failed.isInDoubt ? { type: 'inDoubt', editToken } : error);
  }
  const pauseMs = retryDelay(failed.index, context.random(), {
    maxMs: MAX_PAUSE_MS,
  });
  return pipe(
    (() => context.sleep(pauseMs)) as T.Task<void>,
    T.chain(() => runTry(context, { ...failed, index: failed.index + 1 })),
  );
}

/** Whether a later try may succeed. */
function isPassing(error: ReadTableError): boolean {
  return (
    error.type === 'damaged' ||
    (error.type === 'store' && error.error.type !== 'valueTooLarge')
  );
}

/** An edit in the history, and the number before it. */
interface FoundEdit {
  readonly version: TableVersion;
  readonly before: TableVersion | undefined;
}

function findEdit(
  stored: StoredManifest,
  editToken: string,
): FoundEdit | undefined {
  const history = stored.manifest?.history ?? [];
  const index = history.findIndex((entry) => entry.editToken === editToken);
  const version = history[index];
  if (version === undefined) return undefined;
  return { version, before: history[index - 1] };
}

/** Tells what an edit changed that was accepted before. */
function recallEdit(
  context: Context,
  current: Try,
  accepted: FoundEdit,
): TE.TaskEither<EditTableError, AcceptedEdit> {
  const { version, before } = accepted;
  return pipe(
    readSnapshot(context.store, version),
    TE.bindTo('after'),
    TE.bind('before', () => readSnapshot(context.store, before)),
    TE.foldW(
      (error) => retryAfter(context, { ...current, isInDoubt: true }, error),
      (sides) =>
        TE.right({
          number: version.number,
          changes: diffTables(sides.before.document, sides.after.document),
          document: sides.after.document,
          rootKey: version.rootKey,
        }),
    ),
  );
}
