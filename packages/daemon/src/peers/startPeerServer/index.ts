import {
  Server,
  ServerCredentials,
  status,
  type ServerDuplexStream,
  type ServerWritableStream,
  type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import {
  PeersService,
  type FetchManifestReply,
  type MemberUpdate,
  type NotifyRequest,
  type ProbeReply,
  type ReadTimelineRequest,
  type RelayDown,
  type RelayUp,
  type TableChunk,
  type TimelineRecord,
} from '@endivegate/contracts/peers';
import { once } from 'node:events';
import type { z } from 'zod';
import { PEER_KEEPALIVE_OPTIONS } from '../peerOptions.ts';

/** The entry that a notification comes from. */
export interface NotifySender {
  readonly entryId: string;
  readonly incarnation: number;
}

/** Receiver of the notifications of one topic. */
export interface NotifyTopic<Schema extends z.ZodType = z.ZodType> {
  readonly schema: Schema;
  /** Returns the reply, any JSON value; `undefined` for none. */
  readonly handle: (message: z.output<Schema>, from: NotifySender) => unknown;
}

/** Functions that answer the calls of other entries; absent ones are refused. */
export interface PeerHandlers {
  readonly probe?: () => ProbeReply;
  readonly members?: () => MemberUpdate[];
  readonly topics?: Readonly<Record<string, NotifyTopic>>;
  readonly manifest?: () => FetchManifestReply | undefined;
  readonly chunks?: (hashes: readonly string[]) => AsyncIterable<TableChunk>;
  readonly timeline?: (
    filter: ReadTimelineRequest,
  ) => AsyncIterable<TimelineRecord>;
  readonly relay?: (call: ServerDuplexStream<RelayUp, RelayDown>) => void;
}

/** Options of {@link startPeerServer}. */
export interface StartPeerServerOptions {
  readonly host: string;
  /** Port to listen on; 0 for any free one. */
  readonly port: number;
  readonly credentials?: ServerCredentials;
  readonly handlers: PeerHandlers;
}

/** A listening peer server. */
export interface PeerServer {
  readonly port: number;
  /** Refuses new calls, waits for open ones, and cuts them after the time. */
  readonly close: (timeoutMs?: number) => Promise<void>;
}

/** Time that open calls have to finish when the server closes. */
const CLOSE_TIMEOUT_MS = 1_000;

/**
 * Starts the gRPC server that other entries call.
 *
 * @param options - Address, credentials and handlers.
 * @returns The server once it listens.
 * @throws If the port cannot be bound.
 *
 * @example
 * const server = await startPeerServer({ host, port, handlers });
 */
export async function startPeerServer(
  options: StartPeerServerOptions,
): Promise<PeerServer> {
  const server = new Server(PEER_KEEPALIVE_OPTIONS);
  server.addService(PeersService, implementation(options.handlers));
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync(
      `${options.host}:${options.port}`,
      options.credentials ?? ServerCredentials.createInsecure(),
      (error, bound) => {
        if (error) reject(error);
        else resolve(bound);
      },
    );
  });
  return {
    port,
    close: (timeoutMs = CLOSE_TIMEOUT_MS) => closeServer(server, timeoutMs),
  };
}

function closeServer(server: Server, timeoutMs: number): Promise<void> {
  return new Promise((resolve) => {
    const cut = setTimeout(() => {
      server.forceShutdown();
    }, timeoutMs);
    server.tryShutdown(() => {
      clearTimeout(cut);
      resolve();
    });
  });
}

function implementation(handlers: PeerHandlers): UntypedServiceImplementation {
  const { probe, members, manifest, chunks, timeline, relay } = handlers;
  const service: UntypedServiceImplementation = {
    notify: unary((request: NotifyRequest) =>
      answerNotify(handlers.topics ?? {}, request),
    ),
  };
  if (probe) service.probe = unary(probe);
  if (members) service.fetchMembers = unary(() => ({ members: members() }));
  if (manifest) service.fetchManifest = unary(() => orAbsent(manifest()));
  if (chunks) {
    service.fetchChunks = streamed((request: { hashes: string[] }) =>
      chunks(request.hashes),
    );
  }
  if (timeline) service.readTimeline = streamed(timeline);
  if (relay) service.relay = relay;
  return service;
}

/** Error that names the gRPC status to answer with. */
class StatusError extends Error {
  constructor(
    readonly code: status,
    message: string,
  ) {
    super(message);
  }
}

function orAbsent<T>(value: T | undefined): T {
  if (value === undefined) throw new StatusError(status.NOT_FOUND, 'absent');
  return value;
}

async function answerNotify(
  topics: Readonly<Record<string, NotifyTopic>>,
  request: NotifyRequest,
): Promise<{ payload: Buffer }> {
  const topic = topics[request.topic];
  if (!topic) throw new StatusError(status.UNIMPLEMENTED, 'unknown topic');
  const message = topic.schema.safeParse(parseJson(request.payload));
  if (!message.success) {
    throw new StatusError(status.INVALID_ARGUMENT, message.error.message);
  }
  const reply = await topic.handle(message.data, {
    entryId: request.fromEntryId,
    incarnation: request.fromIncarnation,
  });
  return { payload: Buffer.from(JSON.stringify(reply ?? null)) };
}

function parseJson(payload: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(payload).toString('utf8'));
  } catch {
    return undefined;
  }
}

interface UnaryCall<Request> {
  readonly request: Request;
}

function unary<Request, Reply>(
  answer: (request: Request) => Reply | Promise<Reply>,
) {
  return (
    call: UnaryCall<Request>,
    callback: (error: object | null, reply?: Reply) => void,
  ): void => {
    Promise.resolve()
      .then(() => answer(call.request))
      .then(
        (reply) => {
          callback(null, reply);
        },
        (error: unknown) => {
          callback(toStatus(error));
        },
      );
  };
}

function streamed<Request, Item>(
  items: (request: Request) => AsyncIterable<Item>,
) {
  return (call: ServerWritableStream<Request, Item>): void => {
    writeAll(call, items(call.request)).then(
      () => call.end(),
      (error: unknown) => call.emit('error', toStatus(error)),
    );
  };
}

async function writeAll<Request, Item>(
  call: ServerWritableStream<Request, Item>,
  items: AsyncIterable<Item>,
): Promise<void> {
  const cancelled = once(call, 'cancelled');
  for await (const item of items) {
    if (call.cancelled) return;
    if (!call.write(item)) await Promise.race([once(call, 'drain'), cancelled]);
  }
}

function toStatus(error: unknown): { code: status; details: string } {
  if (error instanceof StatusError) {
    return { code: error.code, details: error.message };
  }
  return { code: status.INTERNAL, details: String(error) };
}
