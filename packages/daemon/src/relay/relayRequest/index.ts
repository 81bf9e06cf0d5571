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
import { toRan } from '../toRan/index.ts';

/** Why a relayed request has no whole answer. */
export type RelayError =
  /** No byte of the request left this entry. */
  | { readonly type: 'notSent'; readonly reason: string }
  /** The other entry refused before it started; nothing ran. */
  | { readonly type: 'refused'; readonly reason: string }
  /** The connection broke; the request may have run. */
  | {
      readonly type: 'cut';
      readonly reason: string;
      /** Whether a part of the answer was handed on. */
      readonly answered: boolean;
    };

/** Receiver of a relayed answer. */
export interface RelaySink {
  readonly writeHead: (head: RelayAnswerHead) => void;
  /** Resolves when the caller can take more. */
  readonly writeChunk: (chunk: Uint8Array) => Promise<void>;
}

/** A request to be served by another entry. */
export interface RelayCall {
  readonly head: RelayHead;
  readonly body: Uint8Array;
  readonly sink: RelaySink;
  /** Aborts when the caller has gone. */
  readonly signal: AbortSignal;
}

/** Options of {@link relayRequest}. */
export interface RelayRequestOptions {
  readonly client: Pick<PeerClient, 'openRelay' | 'connect'>;
  /** Time for the connection to the other entry. */
  readonly connectTimeoutMs?: number;
}

const CONNECT_TIMEOUT_MS = 500;

/** Size of the messages that carry a body. */
const CHUNK_BYTES = 64 * 1024;

/**
 * Has another entry serve a request, and hands on its answer as it comes.
 *
 * The answer is read no faster than the sink takes it. Aborting the signal
 * cancels the request on the other entry.
 *
 * @param peer - The entry to serve the request.
 * @param call - The request and the receiver of its answer.
 * @param options - The peer client.
 * @returns Whether the request ran, as the other entry told it.
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
      return E.left({ type: 'notSent', reason: 'caller gone' });
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
      return await exchange(stream, call);
    } finally {
      call.signal.removeEventListener('abort', cancel);
    }
  };
}

type RelayStream = ClientDuplexStream<RelayUp, RelayDown>;

async function exchange(
  stream: RelayStream,
  call: RelayCall,
): Promise<E.Either<RelayError, Ran>> {
  let answered = false;
  let ran: Ran | undefined;
  try {
    void writeUp(stream, call);
    for await (const { item } of stream as AsyncIterable<RelayDown>) {
      if (item?.$case === 'head') call.sink.writeHead(item.value);
      if (item?.$case === 'chunk') await call.sink.writeChunk(item.value);
      if (item?.$case === 'end') ran = toRan(item.value.ran);
      answered = true;
    }
  } catch (error) {
    stream.cancel();
    return E.left(relayError(error, answered));
  }
  return ran === undefined
    ? E.left({ type: 'cut', reason: 'no end mark', answered })
    : E.right(ran);
}

/** Sends head and body; a broken stream is reported by its reading side. */
async function writeUp(stream: RelayStream, call: RelayCall): Promise<void> {
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

function relayError(error: unknown, answered: boolean): RelayError {
  const { code, details } = error as Partial<ServiceError>;
  const reason = details ?? String(error);
  const refused =
    code === status.FAILED_PRECONDITION || code === status.UNIMPLEMENTED;
  return refused && !answered
    ? { type: 'refused', reason }
    : { type: 'cut', reason, answered };
}
