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

/** Time allowed for one read of the store. */
const READ_TIMEOUT_MS = 3_000;

/**
 * Returns the key-value service as a source of the table.
 *
 * @param platform - The platform.
 * @returns The source.
 */
export function storeSource(platform: PlatformPort): TableSource {
  const get = (
    key: string,
  ): TE.TaskEither<PlatformError, KeyValue | undefined> =>
    platform.get(key, { purpose: 'table', timeoutMs: READ_TIMEOUT_MS });
  return {
    head: pipe(
      get(TABLE_MANIFEST_KEY),
      TE.map((entry) => entry && headOf(entry.value)),
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
 * Returns a peer as a source of the table.
 *
 * @param peers - Calls to peers.
 * @param entryId - The peer.
 * @returns The source.
 */
export function peerSource(peers: TablePeerPort, entryId: string): TableSource {
  return {
    head: peers.fetchHead(entryId),
    values: (keys) => peers.fetchValues(entryId, keys),
  };
}

function headOf(value: string): TableHead | undefined {
  const manifest = tableManifestSchema.safeParse(parseJson(value));
  const version = manifest.data?.history.at(-1);
  return version && { number: version.number, rootKey: version.rootKey };
}

function parseJson(text: string): unknown {
  return O.toUndefined(O.tryCatch(() => JSON.parse(text) as unknown));
}
