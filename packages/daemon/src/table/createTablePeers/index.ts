import type {
  FetchManifestReply,
  TableChunk,
} from '@endivegate/contracts/peers';
import { TABLE_CHUNK_PREFIX } from '@endivegate/contracts';
import * as E from 'fp-ts/lib/Either.js';
import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import { z } from 'zod';
import type {
  PeerAddress,
  PeerClient,
} from '../../peers/createPeerClient/index.ts';
import type { PeerHandlers } from '../../peers/startPeerServer/index.ts';
import type { TableHandler, TablePeerError, TablePeerPort } from '../index.ts';

/** Timeout of one call to a peer. */
const CALL_TIMEOUT_MS = 3_000;

const headSchema = z.object({
  number: z.number().int().positive(),
  rootKey: z.string().startsWith(TABLE_CHUNK_PREFIX),
});

/** Options of {@link createTablePeers}. */
export interface CreateTablePeersOptions {
  readonly client: Pick<PeerClient, 'fetchManifest' | 'fetchChunks'>;
  readonly findPeer: (entryId: string) => PeerAddress | undefined;
}

/**
 * Creates the client that reads other entries' tables over gRPC.
 *
 * @param options - The peer client and the lookup of peer addresses.
 * @returns The client.
 */
export function createTablePeers(
  options: CreateTablePeersOptions,
): TablePeerPort {
  const { client } = options;
  const peerOf = (entryId: string): E.Either<TablePeerError, PeerAddress> =>
    E.fromNullable(failed('not a member'))(options.findPeer(entryId));
  return {
    fetchHead: (entryId) =>
      pipe(
        TE.fromEither(peerOf(entryId)),
        TE.chain((peer) =>
          pipe(
            client.fetchManifest(peer, CALL_TIMEOUT_MS),
            TE.mapLeft(({ type }) => failed(type)),
          ),
        ),
        TE.map(
          ({ manifest }) => headSchema.safeParse(parseJson(manifest)).data,
        ),
      ),
    fetchValues: (entryId, keys) =>
      pipe(
        TE.fromEither(peerOf(entryId)),
        TE.chain((peer) =>
          pipe(
            client.fetchChunks(peer, keys, CALL_TIMEOUT_MS),
            TE.mapLeft(({ type }) => failed(type)),
          ),
        ),
        TE.map((chunks) =>
          chunks.map(({ hash, content }) => ({
            key: hash,
            value: new TextDecoder().decode(content),
          })),
        ),
      ),
  };
}

/**
 * Creates the peer server's handlers that serve the table.
 *
 * @param table - Handler of this entry's table.
 * @returns Handlers for the peer server.
 */
export function createTablePeerHandlers(
  table: Pick<TableHandler, 'head' | 'values'>,
): Required<Pick<PeerHandlers, 'manifest' | 'chunks'>> {
  return {
    manifest: (): FetchManifestReply | undefined => {
      const head = table.head();
      return (
        head && {
          tableNumber: head.number,
          manifest: Buffer.from(JSON.stringify(head)),
        }
      );
    },
    chunks: (keys) => streamChunks(table, keys),
  };
}

async function* streamChunks(
  table: Pick<TableHandler, 'values'>,
  keys: readonly string[],
): AsyncIterable<TableChunk> {
  for (const { key, value } of table.values(keys)) {
    yield await Promise.resolve({
      hash: key,
      content: Buffer.from(value),
    });
  }
}

function failed(reason: string): TablePeerError {
  return { type: 'peerFailed', reason };
}

function parseJson(bytes: Uint8Array): unknown {
  return E.toUnion(
    E.tryCatch(
      () => JSON.parse(new TextDecoder().decode(bytes)) as unknown,
      () => undefined,
    ),
  );
}
