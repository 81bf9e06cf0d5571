import type {
  TableChange,
  TableDocument,
  TableVersion,
} from '@endivegate/contracts';
import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import { changeTable } from '../table/changeTable/index.ts';
import {
  dueCollectionPrefix,
  collectTableGarbage,
} from '../table/collectTableGarbage/index.ts';
import {
  editTable,
  type AcceptedEdit,
  type EditTableError,
  type TableEdit,
} from '../table/editTable/index.ts';
import { findVersion } from '../table/findVersion/index.ts';
import {
  readManifest,
  readSnapshot,
  type ReadTableError,
  type TableSnapshot,
  type TableStore,
} from '../table/readTable/index.ts';
import { replaceTable } from '../table/replaceTable/index.ts';
import { rollBackTable } from '../table/rollBackTable/index.ts';

/** Token, author and note of an edit. */
export type TableEditHead = Omit<TableEdit, 'change'>;

/** Operators' actions on the table. */
export interface TableAdmin {
  readonly edit: (
    head: TableEditHead,
    changes: readonly TableChange[],
  ) => TE.TaskEither<EditTableError, AcceptedEdit>;
  readonly replace: (
    head: TableEditHead,
    baseNumber: number,
    document: TableDocument,
  ) => TE.TaskEither<EditTableError, AcceptedEdit>;
  readonly rollBack: (
    head: TableEditHead,
    number: number,
  ) => TE.TaskEither<EditTableError, AcceptedEdit>;
  readonly history: TE.TaskEither<ReadTableError, readonly TableVersion[]>;
  /** Reads a version from the history; by default the newest. */
  readonly read: (
    number?: number,
  ) => TE.TaskEither<ReadTableError, TableSnapshot>;
}

/** Options of {@link createTableAdmin}. */
export interface CreateTableAdminOptions {
  readonly store: TableStore;
  /** Returns the version number active in this entry. */
  readonly activeNumber: () => number;
  /** Called with each accepted edit, so that it is activated without a read. */
  readonly onAccepted: (edit: AcceptedEdit) => void;
  readonly nowUnixMs?: () => number;
  readonly random?: () => number;
  readonly sleep?: (delayMs: number) => Promise<void>;
}

const DEFAULTS = {
  nowUnixMs: Date.now,
  random: Math.random,
  sleep: (delayMs: number) =>
    new Promise<void>((resolve) => setTimeout(resolve, delayMs)),
};

/**
 * Creates the operators' actions on the table.
 *
 * @param options - Store of the table, and the callback for accepted edits.
 * @returns The actions.
 */
export function createTableAdmin(options: CreateTableAdminOptions): TableAdmin {
  const { store, onAccepted, activeNumber, ...time } = {
    ...DEFAULTS,
    ...options,
  };
  const run = (
    head: TableEditHead,
    change: TableEdit['change'],
  ): TE.TaskEither<EditTableError, AcceptedEdit> =>
    pipe(
      editTable(
        store,
        { ...head, change },
        { ...time, activeNumber: activeNumber() },
      ),
      TE.map((accepted) => {
        onAccepted(accepted);
        if (accepted.changes.length > 0) collectInBackground(store, accepted);
        return accepted;
      }),
    );
  return {
    edit: (head, changes) =>
      run(head, changeTable(store, changes, head.author)),
    replace: (head, baseNumber, document) =>
      run(
        head,
        replaceTable(store, { baseNumber, document, author: head.author }),
      ),
    rollBack: (head, number) => run(head, rollBackTable(store, number)),
    history: pipe(
      readManifest(store),
      TE.map(({ manifest }) => manifest?.history ?? []),
    ),
    read: (number) => readNumber(store, number),
  };
}

function readNumber(
  store: TableStore,
  number: number | undefined,
): TE.TaskEither<ReadTableError, TableSnapshot> {
  return pipe(
    readManifest(store),
    TE.chain((stored) =>
      number === undefined
        ? TE.right(stored.manifest?.history.at(-1))
        : findVersion(stored, number),
    ),
    TE.chain((version) => readSnapshot(store, version)),
  );
}

/** Starts a garbage collection; a later one retries what a failed one left. */
function collectInBackground(store: TableStore, accepted: AcceptedEdit): void {
  const prefix = dueCollectionPrefix(accepted.number);
  if (prefix !== undefined) void collectTableGarbage(store, prefix)();
}
