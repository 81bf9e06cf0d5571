import type { TableValue } from '@endivegate/core';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type { TableHead } from './loadTable.ts';

/** Why a peer gave no answer. */
export interface TablePeerError {
  readonly type: 'peerFailed';
  readonly reason: string;
}

/** Calls to the table of another entry. */
export interface TablePeerPort {
  /** Number in force at a peer, and its root; undefined when it has none. */
  readonly fetchHead: (
    entryId: string,
  ) => TaskEither<TablePeerError, TableHead | undefined>;
  /** Immutable values by key; those that the peer lacks are left out. */
  readonly fetchValues: (
    entryId: string,
    keys: readonly string[],
  ) => TaskEither<TablePeerError, readonly TableValue[]>;
}
