import { status, type ServerDuplexStream } from '@grpc/grpc-js';
import type {
  RelayAnswerHead,
  RelayDown,
  RelayHead,
  RelayUp,
} from '@endivegate/contracts/peers';
import type { Ran } from '@endivegate/contracts';
import { once } from 'node:events';

/** A request that another entry relays to this one. */
export interface RelayedRequest {
  readonly head: RelayHead;
  readonly body: Uint8Array;
  /** Aborts when the other entry cancels or its connection breaks. */
  readonly signal: AbortSignal;
}

/** The answer to a relayed request. */
export interface RelayedAnswer {
  readonly head: RelayAnswerHead;
  /** Read no faster than the other entry accepts the chunks. */
  readonly chunks: AsyncIterable<Uint8Array>;
  /** Returns whether the request ran; called after the last chunk. */
  readonly ran: () => Ran;
}

/** Options of {@link serveRelay}. */
export interface ServeRelayOptions {
  /** Serves a request as if its caller had connected to this entry. */
  readonly serve: (request: RelayedRequest) => Promise<RelayedAnswer>;
  /** Maximum size of a request body. */
  readonly maxBodyBytes?: number;
}

/** Maximum number of times that a request is relayed between entries. */
const MAX_HOPS = 1;

const MAX_BODY_BYTES = 16 * 1024 * 1024;

type RelayCall = ServerDuplexStream<RelayUp, RelayDown>;

/** Thrown when a request is refused before any of it has run. */
class RefusedError extends Error {}

/**
 * Creates the handler of relayed requests for the peer server.
 *
 * @param options - The function that serves the requests, and limits.
 * @returns The call handler.
 *
 * @example
 * startPeerServer({ host, port, handlers: { relay: serveRelay({ serve }) } });
 */
export function serveRelay(
  options: ServeRelayOptions,
): (call: RelayCall) => void {
  return (call) => {
    const controller = new AbortController();
    call.on('cancelled', () => {
      controller.abort();
    });
    serveCall(call, controller.signal, options).then(
      () => call.end(),
      (error: unknown) => {
        const code =
          error instanceof RefusedError
            ? status.FAILED_PRECONDITION
            : status.ABORTED;
        call.emit('error', { code, details: String(error) });
      },
    );
  };
}

async function serveCall(
  call: RelayCall,
  signal: AbortSignal,
  options: ServeRelayOptions,
): Promise<void> {
  const { head, body } = await readRequest(
    call,
    options.maxBodyBytes ?? MAX_BODY_BYTES,
  );
  const answer = await options.serve({ head, body, signal });
  call.write({ item: { $case: 'head', value: answer.head } });
  for await (const chunk of answer.chunks) {
    if (signal.aborted) return;
    const value = Buffer.from(chunk);
    if (!call.write({ item: { $case: 'chunk', value } })) {
      await once(call, 'drain', { signal });
    }
  }
  call.write({ item: { $case: 'end', value: { ran: answer.ran() } } });
}

async function readRequest(
  call: RelayCall,
  maxBodyBytes: number,
): Promise<{ readonly head: RelayHead; readonly body: Uint8Array }> {
  const chunks: Buffer[] = [];
  let head: RelayHead | undefined;
  let bodyBytes = 0;
  // The answer is written to the same call, so reading the request must not
  // destroy the stream.
  const items = call.iterator({ destroyOnReturn: false });
  for await (const { item } of items as AsyncIterable<RelayUp>) {
    if (item?.$case === 'head') head = item.value;
    if (item?.$case === 'chunk') {
      bodyBytes += item.value.length;
      if (bodyBytes > maxBodyBytes) throw new RefusedError('body too large');
      chunks.push(item.value);
    }
  }
  if (!head) throw new RefusedError('no head');
  if (head.hops > MAX_HOPS) throw new RefusedError('too many hops');
  return { head, body: Buffer.concat(chunks) };
}
