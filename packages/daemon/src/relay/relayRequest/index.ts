import {
  status,
  type ClientDuplexStream,
  type ServiceError,
} from '@grpc/grpc-js';
import type {
  RelayAnswerHead,
  RelayDown,
  RelayHead,
  RelayUp,
} from '@endivegate/contracts/peers';
import type { Ran } from '@endivegate/contracts';
import * as E from 'fp-ts/lib/Either.js';
import type * as TE from 'fp-ts/lib/TaskEither.js';
import { once } from 'node:events';
import type { PeerAddress, PeerClient } from '../../peers/index.ts';
import { parseRan } from '../parseRan/index.ts';

/** Why a relayed request has no complete answer. */
export type RelayError =
  /** No byte of the request left this entry. */
  | { readonly type: 'notSent'; readonly reason: string }
  /** The other entry refused the request, which has not run. */
  | { readonly type: 'refused'; readonly reason: string }
  /** The connection broke; the request may have run. */
  | {
      readonly type: 'cut';
      readonly reason: string;
      /** Whether a part of the answer was passed to the sink. */
      readonly answered: boolean;
    };

/** Receiver of a relayed answer. */
export interface RelaySink {
  readonly writeHead: (head: RelayAnswerHead) => void;
  /** Resolves when the caller can accept more. */
  readonly writeChunk: (chunk: Uint8Array) => Promise<void>;
}

/** A request to be served by another entry. */
export interface RelayCall {
  readonly head: RelayHead;
  readonly body: Uint8Array;
  readonly sink: RelaySink;
  /** Aborts when the caller has disconnected. */
  readonly signal: AbortSignal;
}

/** Options of {@link relayRequest}. */
export interface RelayRequestOptions {
  readonly client: Pick<PeerClient, 'openRelay' | 'connect'>;
  /** Timeout for connecting to the other entry. */
  readonly connectTimeoutMs?: number;
}

const CONNECT_TIMEOUT_MS = 500;

/** Maximum size of the messages that carry the request body. */
const CHUNK_BYTES = 64 * 1024;

/**
 * Relays a request to another entry and streams its answer to the sink.
 *
 * The answer is read no faster than the sink accepts it. Aborting the signal
 * cancels the request on the other entry.
 *
 * @param peer - The entry to serve the request.
 * @param call - The request and the sink of its answer.
 * @param options - The peer client.
 * @returns Whether the request ran, as reported by the other entry.
 *
 * @example
 * const end = await relayRequest(home, { head, body, sink, signal }, { client })();
 */
export function relayRequest(
  peer: PeerAddress,
  call: RelayCall,
  options: RelayRequestOptions,
): TE.TaskEither<RelayError, Ran> {
  const { client, connectTimeoutMs = CONNECT_TIMEOUT_MS } = options;
  return async () => {
    if (call.signal.aborted) {
      return E.left({ type: 'notSent', reason: 'caller disconnected' });
    }
    const connected = await client.connect(peer, connectTimeoutMs)();
    if (E.isLeft(connected)) {
      return E.left({ type: 'notSent', reason: connected.left.type });
    }
    const stream = client.openRelay(peer, call.head.timeoutMs);
    const cancel = () => {
      stream.cancel();
    };
    call.signal.addEventListener('abort', cancel, { once: true });
    try {
      return await exchangeMessages(stream, call);
    } finally {
      call.signal.removeEventListener('abort', cancel);
    }
  };
}

type RelayStream = ClientDuplexStream<RelayUp, RelayDown>;

async function exchangeMessages(
  stream: RelayStream,
  call: RelayCall,
): Promise<E.Either<RelayError, Ran>> {
  let answered = false;
  let ran: Ran | undefined;
  try {
    void writeRequest(stream, call);
    for await (const { item } of stream as AsyncIterable<RelayDown>) {
      if (item?.$case === 'head') call.sink.writeHead(item.value);
      if (item?.$case === 'chunk') await call.sink.writeChunk(item.value);
      if (item?.$case === 'end') ran = parseRan(item.value.ran);
      answered = true;
    }
  } catch (error) {
    stream.cancel();
    return E.left(toRelayError(error, answered));
  }
  return ran === undefined
    ? E.left({ type: 'cut', reason: 'no end marker', answered })
    : E.right(ran);
}

/** Sends head and body; a broken stream is reported by the reading side. */
async function writeRequest(
  stream: RelayStream,
  call: RelayCall,
): Promise<void> {
  stream.write({ item: { $case: 'head', value: call.head } });
  for (let at = 0; at < call.body.length; at += CHUNK_BYTES) {
    const value = Buffer.from(call.body.subarray(at, at + CHUNK_BYTES));
    if (!stream.write({ item: { $case: 'chunk', value } })) {
      const ended = await Promise.race([
        once(stream, 'drain').then(() => false),
        once(stream, 'close').then(() => true),
      ]).catch(() => true);
      if (ended) return;
    }
  }
  stream.end();
}

function toRelayError(error: unknown, answered: boolean): RelayError {
  const { code, details } = error as Partial<ServiceError>;
  const reason = details ?? String(error);
  const refused =
    code === status.FAILED_PRECONDITION || code === status.UNIMPLEMENTED;
  return refused && !answered
    ? { type: 'refused', reason }
    : { type: 'cut', reason, answered };
}
