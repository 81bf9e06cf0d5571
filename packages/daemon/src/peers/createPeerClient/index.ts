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

/** Address of a peer's gRPC server. */
export interface PeerAddress {
  readonly host: string;
  readonly peerPort: number;
}

/** A message to the handler of a topic on another entry. */
export interface Notification<Reply> {
  readonly topic: string;
  /** Message content, any JSON value. */
  readonly message: unknown;
  readonly replySchema: z.ZodType<Reply>;
}

/** Calls to other entries. */
export interface PeerClient {
  /** Waits until a connection is established, without starting a call. */
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
  /** Closes all connections and cancels open calls. */
  readonly close: () => void;
}

/** Options of {@link createPeerClient}. */
export interface CreatePeerClientOptions {
  /** Identity of this entry, sent with notifications. */
  readonly self: { readonly entryId: string; readonly incarnation: number };
  readonly credentials?: ChannelCredentials;
  /** Timeout of calls that specify none. */
  readonly timeoutMs?: number;
}

/** Timeout of calls that specify none, if the options set no other. */
const DEFAULT_CALL_TIMEOUT_MS = 1_000;

/**
 * Creates the client for calls to other entries, with one connection to each.
 *
 * @param options - Identity of this entry, credentials and default timeout.
 * @returns The client.
 *
 * @example
 * const client = createPeerClient({ self });
 * const reply = await client.probe(peer)();
 */
export function createPeerClient(options: CreatePeerClientOptions): PeerClient {
  const credentials =
    options.credentials ?? ChannelCredentials.createInsecure();
  const defaultTimeoutMs = options.timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
  const clients = new Map<string, PeersClient>();

  function getClient(peer: PeerAddress): PeersClient {
    const address = `${peer.host}:${peer.peerPort}`;
    const known = clients.get(address);
    if (known) return known;
    const client = new PeersClient(address, credentials, PEER_CHANNEL_OPTIONS);
    clients.set(address, client);
    return client;
  }

  const callOptions = (timeoutMs = defaultTimeoutMs): CallOptions => ({
    deadline: Date.now() + timeoutMs,
  });

  return {
    connect: (peer, timeoutMs) => () =>
      new Promise((resolve) => {
        getClient(peer).waitForReady(Date.now() + timeoutMs, (error) => {
          resolve(
            error
              ? E.left({ type: 'unreachable', reason: error.message })
              : E.right(undefined),
          );
        });
      }),
    probe: (peer, timeoutMs) =>
      callUnary((done) =>
        getClient(peer).probe({}, new Metadata(), callOptions(timeoutMs), done),
      ),
    fetchMembers: (peer, timeoutMs) =>
      pipe(
        callUnary<{ members: MemberUpdate[] }>((done) =>
          getClient(peer).fetchMembers(
            {},
            new Metadata(),
            callOptions(timeoutMs),
            done,
          ),
        ),
        TE.map((reply) => reply.members),
      ),
    notify: (peer, { topic, message, replySchema }, timeoutMs) =>
      pipe(
        callUnary<{ payload: Buffer }>((done) =>
          getClient(peer).notify(
            {
              topic,
              fromEntryId: options.self.entryId,
              fromIncarnation: options.self.incarnation,
              payload: Buffer.from(JSON.stringify(message)),
            },
            new Metadata(),
            callOptions(timeoutMs),
            done,
          ),
        ),
        TE.chainEitherK((reply) => parseReply(reply.payload, replySchema)),
      ),
    fetchManifest: (peer, timeoutMs) =>
      callUnary((done) =>
        getClient(peer).fetchManifest(
          {},
          new Metadata(),
          callOptions(timeoutMs),
          done,
        ),
      ),
    fetchChunks: (peer, hashes, timeoutMs) =>
      collectStream(() =>
        getClient(peer).fetchChunks(
          { hashes: [...hashes] },
          callOptions(timeoutMs),
        ),
      ),
    readTimeline: (peer, filter, timeoutMs) =>
      collectStream(() =>
        getClient(peer).readTimeline(filter, callOptions(timeoutMs)),
      ),
    openRelay: (peer, timeoutMs) =>
      getClient(peer).relay(callOptions(timeoutMs)),
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

function callUnary<Reply>(
  call: (done: (error: ServiceError | null, reply: Reply) => void) => unknown,
): TE.TaskEither<PeerError, Reply> {
  return () =>
    new Promise((resolve) => {
      call((error, reply) => {
        resolve(error ? E.left(toPeerError(error)) : E.right(reply));
      });
    });
}

function collectStream<Item>(
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
