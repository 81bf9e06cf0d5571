import type { Server } from 'node:http';
import * as E from 'fp-ts/lib/Either.js';
import {
  type Fetched,
  type FetchError,
  fetchJson,
  serveJson,
} from '../../exchangeJson/index.ts';
import {
  encodeSnapshot,
  snapshotSchema,
  type TargetSnapshot,
} from './storeNews.ts';

const SNAPSHOT_PATH = '/targets';

/** Many round trips, and the transfer of some hundred targets. */
const FETCH_TIMEOUT_MS = 800;

/** Creates the server from which entries fetch all targets. */
export function createSnapshotServer(
  current: () => TargetSnapshot | undefined,
): Server {
  return serveJson(SNAPSHOT_PATH, current, { encodeValue: encodeSnapshot });
}

/**
 * Fetches all targets that a watcher knows.
 *
 * @param address - IP and port of the watcher.
 * @param done - Receives the snapshot, or the reason why there is none.
 */
export function fetchSnapshot(
  address: string,
  done: (result: E.Either<FetchError, TargetSnapshot>) => void,
): void {
  const source = { address, path: SNAPSHOT_PATH, timeoutMs: FETCH_TIMEOUT_MS };
  fetchJson(source, decodeSnapshot, (result) => {
    done(E.map(({ value }: Fetched<TargetSnapshot>) => value)(result));
  });
}

function decodeSnapshot(value: unknown): E.Either<string, TargetSnapshot> {
  const parsed = snapshotSchema.safeParse(value);
  return parsed.success ? E.right(parsed.data) : E.left(parsed.error.message);
}
