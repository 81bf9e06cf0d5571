import type { EntryAddress } from '@endivegate/contracts';
import type {
  FetchManifestReply,
  TableChunk,
} from '@endivegate/contracts/peers';
import * as E from 'fp-ts/lib/Either.js';
import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import { z } from 'zod';
import type { PeerAddress, PeerClient, PeerError } from '../peers/index.ts';
import type {
  TableHandler,
  TableHead,
  TablePeerError,
  TablePeerPort,
} from '../table/index.ts';

const headSchema = z.strictObject({
  number: z.number().int().positive(),
  rootKey: z.string().min(1),
});

/** Options of {@link createTablePeers}. */
export interface CreateTablePeersOptions {
  readonly client: Pick<PeerClient, 'fetchManifest' | 'fetchChunks'>;
  readonly findEntry: (entryId: string) => EntryAddress | undefined;
}

/**
 * Creates the client that reads the tables of other entries.
 *
 * @param options - Peer client and lookup of entry addresses.
 * @returns The port for the table handler.
 */
export function createTablePeers(
  options: CreateTablePeersOptions,
): TablePeerPort {
  const callPeer = <Reply>(
    entryId: string,
    call: (peer: PeerAddress) => TE.TaskEither<PeerError, Reply>,
  ): TE.TaskEither<TablePeerError, Reply> => {
    const peer = options.findEntry(entryId);
    if (peer === undefined) return TE.left(failed('unknown entry'));
    return pipe(
      call(peer),
      TE.mapLeft((error) => failed(error.type)),
    );
  };
  return {
    fetchHead: (entryId) =>
      pipe(
        callPeer(entryId, (peer) => options.client.fetchManifest(peer)),
        TE.flatMapEither((reply) => readHead(reply)),
      ),
    fetchValues: (entryId, keys) =>
      pipe(
        callPeer(entryId, (peer) =>
          options.client.fetchChunks(peer, [...keys]),
        ),
        TE.map((chunks) =>
          chunks.map(({ hash, content }) => ({
            key: hash,
            value: content.toString('utf8'),
          })),
        ),
      ),
  };
}

function readHead(
  reply: FetchManifestReply,
): E.Either<TablePeerError, TableHead> {
  return E.tryCatch(
    () => headSchema.parse(JSON.parse(reply.manifest.toString('utf8'))),
    () => failed('malformed head'),
  );
}

function failed(reason: string): TablePeerError {
  return { type: 'peerFailed', reason };
}

/**
 * Answers a peer's request for the head of the active table.
 *
 * @param table - This entry's table.
 * @returns The reply, or undefined while the entry has no table.
 */
export function answerManifest(
  table: Pick<TableHandler, 'head'>,
): FetchManifestReply | undefined {
  const head = table.head();
  if (head === undefined) return undefined;
  return {
    tableNumber: head.number,
    manifest: Buffer.from(JSON.stringify(head)),
  };
}

/**
 * Answers a peer's request for values of the table.
 *
 * @param table - This entry's table.
 * @param keys - Keys of the values; absent keys are omitted.
 * @yields Each value found.
 */
export async function* answerChunks(
  table: Pick<TableHandler, 'values'>,
  keys: readonly string[],
): AsyncIterable<TableChunk> {
  for (const { key, value } of table.values(keys)) {
    yield await Promise.resolve({ hash: key, content: Buffer.from(value) });
  }
}
