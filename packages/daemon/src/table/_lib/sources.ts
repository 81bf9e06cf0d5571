import { pipe } from 'fp-ts/lib/function.js';
import * as O from 'fp-ts/lib/Option.js';
import * as A from 'fp-ts/lib/ReadonlyArray.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import {
  TABLE_MANIFEST_KEY,
  tableManifestSchema,
  type KeyValue,
  type PlatformError,
  type PlatformPort,
} from '@endivegate/contracts';
import type { TableHead, TableSource } from './loadTable.ts';
import type { TablePeerPort } from './peerPort.ts';

/** Timeout of one read from the store. */
const READ_TIMEOUT_MS = 3_000;

/**
 * Creates a table source that reads from the platform's key-value service.
 *
 * @param platform - The platform.
 * @returns The source.
 */
export function createStoreSource(platform: PlatformPort): TableSource {
  const get = (
    key: string,
  ): TE.TaskEither<PlatformError, KeyValue | undefined> =>
    platform.get(key, { purpose: 'table', timeoutMs: READ_TIMEOUT_MS });
  return {
    head: pipe(
      get(TABLE_MANIFEST_KEY),
      TE.map((entry) => entry && parseHead(entry.value)),
    ),
    values: (keys) =>
      pipe(
        keys,
        A.traverse(TE.ApplicativePar)(get),
        TE.map((entries) => entries.filter((entry) => entry !== undefined)),
      ),
  };
}

/**
 * Creates a table source that reads from a peer.
 *
 * @param peers - Client for the peers' tables.
 * @param entryId - Entry id of the peer.
 * @returns The source.
 */
export function createPeerSource(
  peers: TablePeerPort,
  entryId: string,
): TableSource {
  return {
    head: peers.fetchHead(entryId),
    values: (keys) => peers.fetchValues(entryId, keys),
  };
}

function parseHead(value: string): TableHead | undefined {
  const manifest = tableManifestSchema.safeParse(parseJson(value));
  const version = manifest.data?.history.at(-1);
  return version && { number: version.number, rootKey: version.rootKey };
}

function parseJson(text: string): unknown {
  return O.toUndefined(O.tryCatch(() => JSON.parse(text) as unknown));
}
