import {
  ChannelCredentials,
  Metadata,
  type CallOptions,
  type ClientDuplexStream,
  type ClientReadableStream,
  type ServiceError,
} from '@grpc/grpc-js';
import {
  PeersClient,
  type FetchManifestReply,
  type MemberUpdate,
  type ProbeReply,
  type ReadTimelineRequest,
  type RelayDown,
  type RelayUp,
  type TableChunk,
  type TimelineRecord,
} from '@endivegate/contracts/peers';
import * as E from 'fp-ts/lib/Either.js';
import { pipe } from 'fp-ts/lib/function.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import type { z } from 'zod';
import { toPeerError, type PeerError } from '../peerError.ts';
import { PEER_CHANNEL_OPTIONS } from '../peerOptions.ts';

/** Where a peer's server listens. */
export interface PeerAddress {
  readonly host: string;
  readonly peerPort: number;
}

/** A message to the subscribers of a topic on another entry. */
export interface Notification<Reply> {
  readonly topic: string;
  /** Any JSON value. */
  readonly message: unknown;
  readonly replySchema: z.ZodType<Reply>;
}

/** Calls to other entries. */
export interface PeerClient {
  /** Waits until there is a connection; sends nothing of a call. */
  readonly connect: (
    peer: PeerAddress,
    timeoutMs: number,
  ) => TE.TaskEither<PeerError, void>;
  readonly probe: (
    peer: PeerAddress,
    timeoutMs?: number,
  ) => TE.TaskEither<PeerError, ProbeReply>;
  readonly fetchMembers: (
    peer: PeerAddress,
    timeoutMs?: number,
  ) => TE.TaskEither<PeerError, readonly MemberUpdate[]>;
  readonly notify: <Reply>(
    peer: PeerAddress,
    notification: Notification<Reply>,
    timeoutMs?: number,
  ) => TE.TaskEither<PeerError, Reply>;
  readonly fetchManifest: (
    peer: PeerAddress,
    timeoutMs?: number,
  ) => TE.TaskEither<PeerError, FetchManifestReply>;
  readonly fetchChunks: (
    peer: PeerAddress,
    hashes: readonly string[],
    timeoutMs?: number,
  ) => TE.TaskEither<PeerError, readonly TableChunk[]>;
  readonly readTimeline: (
    peer: PeerAddress,
    filter: ReadTimelineRequest,
    timeoutMs?: number,
  ) => TE.TaskEither<PeerError, readonly TimelineRecord[]>;
  readonly openRelay: (
    peer: PeerAddress,
    timeoutMs: number,
  ) => ClientDuplexStream<RelayUp, RelayDown>;
  /** Closes all connections; open calls end as cancelled. */
  readonly close: () => void;
}

/** Options of {@link createPeerClient}. */
export interface CreatePeerClientOptions {
  /** Identity sent with notifications. */
  readonly self: { readonly entryId: string; readonly incarnation: number };
  readonly credentials?: ChannelCredentials;
  /** Time-out of calls that name none. */
  readonly timeoutMs?: number;
}

/** Time-out of calls that name none. */
const CALL_TIMEOUT_MS = 1_000;

/**
 * Creates the client for calls to other entries, one connection to each.
 *
 * @param options - Own identity, credentials and default time-out.
 * @returns The client.
 *
 * @example
 * const client = createPeerClient({ self });
 * const reply = await client.probe(peer)();
 */
export function createPeerClient(options: CreatePeerClientOptions): PeerClient {
  const credentials =
    options.credentials ?? ChannelCredentials.createInsecure();
  const defaultTimeoutMs = options.timeoutMs ?? CALL_TIMEOUT_MS;
  const clients = new Map<string, PeersClient>();

  function clientOf(peer: PeerAddress): PeersClient {
    const address = `${peer.host}:${peer.peerPort}`;
    const known = clients.get(address);
    if (known) return known;
    const client = new PeersClient(address, credentials, PEER_CHANNEL_OPTIONS);
    clients.set(address, client);
    return client;
  }

  const within = (timeoutMs = defaultTimeoutMs): CallOptions => ({
    deadline: Date.now() + timeoutMs,
  });

  return {
    connect: (peer, timeoutMs) => () =>
      new Promise((resolve) => {
        clientOf(peer).waitForReady(Date.now() + timeoutMs, (error) => {
          resolve(
            error
              ? E.left({ type: 'unreachable', reason: error.message })
              : E.right(undefined),
          );
        });
      }),
    probe: (peer, timeoutMs) =>
      unary((done) =>
        clientOf(peer).probe({}, new Metadata(), within(timeoutMs), done),
      ),
    fetchMembers: (peer, timeoutMs) =>
      pipe(
        unary<{ members: MemberUpdate[] }>((done) =>
          clientOf(peer).fetchMembers(
            {},
            new Metadata(),
            within(timeoutMs),
            done,
          ),
        ),
        TE.map((reply) => reply.members),
      ),
    notify: (peer, { topic, message, replySchema }, timeoutMs) =>
      pipe(
        unary<{ payload: Buffer }>((done) =>
          clientOf(peer).notify(
            {
              topic,
              fromEntryId: options.self.entryId,
              fromIncarnation: options.self.incarnation,
              payload: Buffer.from(JSON.stringify(message)),
            },
            new Metadata(),
            within(timeoutMs),
            done,
          ),
        ),
        TE.chainEitherK((reply) => parseReply(reply.payload, replySchema)),
      ),
    fetchManifest: (peer, timeoutMs) =>
      unary((done) =>
        clientOf(peer).fetchManifest(
          {},
          new Metadata(),
          within(timeoutMs),
          done,
        ),
      ),
    fetchChunks: (peer, hashes, timeoutMs) =>
      collect(() =>
        clientOf(peer).fetchChunks({ hashes: [...hashes] }, within(timeoutMs)),
      ),
    readTimeline: (peer, filter, timeoutMs) =>
      collect(() => clientOf(peer).readTimeline(filter, within(timeoutMs))),
    openRelay: (peer, timeoutMs) => clientOf(peer).relay(within(timeoutMs)),
    close: () => {
      clients.forEach((client) => {
        client.close();
      });
      clients.clear();
    },
  };
}

function parseReply<Reply>(
  payload: Buffer,
  schema: z.ZodType<Reply>,
): E.Either<PeerError, Reply> {
  return pipe(
    E.tryCatch(
      () => schema.parse(JSON.parse(payload.toString('utf8'))),
      String,
    ),
    E.mapLeft((reason): PeerError => ({ type: 'invalid', reason })),
  );
}

function unary<Reply>(
  call: (done: (error: ServiceError | null, reply: Reply) => void) => unknown,
): TE.TaskEither<PeerError, Reply> {
  return () =>
    new Promise((resolve) => {
      call((error, reply) => {
        resolve(error ? E.left(toPeerError(error)) : E.right(reply));
      });
    });
}

function collect<Item>(
  open: () => ClientReadableStream<Item>,
): TE.TaskEither<PeerError, readonly Item[]> {
  return () =>
    new Promise((resolve) => {
      const items: Item[] = [];
      const stream = open();
      stream.on('data', (item: Item) => items.push(item));
      stream.on('error', (error: ServiceError) => {
        resolve(E.left(toPeerError(error)));
      });
      stream.on('end', () => {
        resolve(E.right(items));
      });
    });
}
