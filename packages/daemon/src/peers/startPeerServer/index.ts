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

/** The entry that sent a notification. */
export interface NotifySender {
  readonly entryId: string;
  readonly incarnation: number;
}

/** Schema and handler of the notifications of one topic. */
export interface NotifyTopic<Schema extends z.ZodType = z.ZodType> {
  readonly schema: Schema;
  /** Returns the reply, any JSON value; `undefined` is sent as `null`. */
  readonly handle: (message: z.output<Schema>, from: NotifySender) => unknown;
}

/**
 * Functions that handle the calls of other entries. A call without a handler
 * fails with status UNIMPLEMENTED.
 */
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
  /** Port to listen on; 0 selects any free port. */
  readonly port: number;
  readonly credentials?: ServerCredentials;
  readonly handlers: PeerHandlers;
}

/** A listening peer server. */
export interface PeerServer {
  readonly port: number;
  /**
   * Rejects new calls, waits for open calls to finish, and cancels those that
   * are still open after the timeout.
   */
  readonly close: (timeoutMs?: number) => Promise<void>;
}

/** Default time that open calls have to finish when the server closes. */
const DEFAULT_CLOSE_TIMEOUT_MS = 1_000;

/**
 * Starts the gRPC server that other entries call.
 *
 * @param options - Address, credentials and handlers.
 * @returns The server, once it is listening.
 * @throws If the port cannot be bound.
 *
 * @example
 * const server = await startPeerServer({ host, port, handlers });
 */
export async function startPeerServer(
  options: StartPeerServerOptions,
): Promise<PeerServer> {
  const server = new Server(PEER_KEEPALIVE_OPTIONS);
  server.addService(PeersService, createImplementation(options.handlers));
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync(
      `${options.host}:${options.port}`,
      options.credentials ?? ServerCredentials.createInsecure(),
      (error, boundPort) => {
        if (error) reject(error);
        else resolve(boundPort);
      },
    );
  });
  return {
    port,
    close: (timeoutMs = DEFAULT_CLOSE_TIMEOUT_MS) =>
      closeServer(server, timeoutMs),
  };
}

function closeServer(server: Server, timeoutMs: number): Promise<void> {
  return new Promise((resolve) => {
    const forceTimer = setTimeout(() => {
      server.forceShutdown();
    }, timeoutMs);
    server.tryShutdown(() => {
      clearTimeout(forceTimer);
      resolve();
    });
  });
}

function createImplementation(
  handlers: PeerHandlers,
): UntypedServiceImplementation {
  const { probe, members, manifest, chunks, timeline, relay } = handlers;
  const service: UntypedServiceImplementation = {
    notify: handleUnary((request: NotifyRequest) =>
      handleNotify(handlers.topics ?? {}, request),
    ),
  };
  if (probe) service.probe = handleUnary(probe);
  if (members)
    service.fetchMembers = handleUnary(() => ({ members: members() }));
  if (manifest)
    service.fetchManifest = handleUnary(() => orNotFound(manifest()));
  if (chunks) {
    service.fetchChunks = handleServerStream((request: { hashes: string[] }) =>
      chunks(request.hashes),
    );
  }
  if (timeline) service.readTimeline = handleServerStream(timeline);
  if (relay) service.relay = relay;
  return service;
}

/** Error that carries the gRPC status of the response. */
class StatusError extends Error {
  constructor(
    readonly code: status,
    message: string,
  ) {
    super(message);
  }
}

function orNotFound<T>(value: T | undefined): T {
  if (value === undefined) throw new StatusError(status.NOT_FOUND, 'absent');
  return value;
}

async function handleNotify(
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

function handleUnary<Request, Reply>(
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

function handleServerStream<Request, Item>(
  items: (request: Request) => AsyncIterable<Item>,
) {
  return (call: ServerWritableStream<Request, Item>): void => {
    writeItems(call, items(call.request)).then(
      () => call.end(),
      (error: unknown) => call.emit('error', toStatus(error)),
    );
  };
}

async function writeItems<Request, Item>(
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
