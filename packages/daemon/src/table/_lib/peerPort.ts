import type { TableValue } from '@endivegate/core';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import type { TableHead } from './loadTable.ts';

/** Error of a call to a peer. */
export interface TablePeerError {
  readonly type: 'peerFailed';
  readonly reason: string;
}

/** Client for reading the table of another entry. */
export interface TablePeerPort {
  /** Reads a peer's active version and its root; undefined without a table. */
  readonly fetchHead: (
    entryId: string,
  ) => TaskEither<TablePeerError, TableHead | undefined>;
  /** Reads immutable values by key; keys that the peer lacks are omitted. */
  readonly fetchValues: (
    entryId: string,
    keys: readonly string[],
  ) => TaskEither<TablePeerError, readonly TableValue[]>;
}
