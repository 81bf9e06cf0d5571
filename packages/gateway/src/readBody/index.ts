import type { IncomingMessage } from 'node:http';
import { type ByteBudget, collectBytes } from '@endivegate/core/forwarding';
import * as E from 'fp-ts/lib/Either.js';

/** Why the body of a request was not read to its end. */
export type BodyError =
  /** It exceeds the limit of a body. */
  | 'tooLarge'
  /** There is no memory left for it. */
  | 'noRoom'
  /** It did not arrive in time. */
  | 'tooSlow';

/** The body of a request. */
export interface ReceivedBody {
  readonly bytes: Buffer;
  /** Gives back the memory that is set aside for it. */
  readonly release: () => void;
}

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  readonly maxBytes: number;
  /** Memory for the requests of all callers. */
  readonly budget: ByteBudget;
  /** Who the body counts for, such as the workspace. */
  readonly owner: string;
  /** Time for the whole body. */
  readonly timeoutMs: number;
  /** Time for which nothing may arrive; 0 for no limit. */
  readonly idleTimeoutMs: number;
  /** Monotonic time in ms; `performance.now` by default. */
  readonly now?: () => number;
}

/** Longest time of a timer of Node, which takes longer ones for 1 ms. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Memory of an open request beside its body: its head, its timers and its sends. */
const REQUEST_BYTES = 16 * 1024;

/**
 * Reads the body of a request into memory.
 *
 * @param request - A request whose body nothing has read yet.
 * @param options - Limits.
 * @param done - Called once with the body, or the reason why it is not read on; not called
 * if the connection is closed first.
 *
 * @example
 * readBody(request, options, (body) => { if (E.isRight(body)) forward(body.right); });
 */
export function readBody(
  request: IncomingMessage,
  options: ReadBodyOptions,
  done: (body: E.Either<BodyError, ReceivedBody>) => void,
): void {
  const { maxBytes, timeoutMs } = options;
  const idleTimeoutMs = options.idleTimeoutMs || Infinity;
  const { now = () => performance.now() } = options;
  const collector = collectBytes({ maxBytes });
  const holding = options.budget.hold({
    owner: options.owner,
    onEvict() {
      fail('noRoom');
    },
  });
  const endsAtMs = now() + timeoutMs;
  let heardAtMs = now();
  let isOver = false;
  let timer = setTimeout(checkTime, waitMs());

  function waitMs(): number {
    const leftMs = Math.min(endsAtMs, heardAtMs + idleTimeoutMs) - now();
    return Math.min(Math.max(leftMs, 0), MAX_TIMER_MS);
  }

  function checkTime(): void {
    if (isOver) return;
    if (waitMs() > 0) timer = setTimeout(checkTime, waitMs());
    // What arrived while the process stood still is read first.
    else setImmediate(failIfLate);
  }

  function failIfLate(): void {
    if (isOver) return;
    if (waitMs() <= 0) fail('tooSlow');
    else checkTime();
  }

  function stop(): void {
    isOver = true;
    clearTimeout(timer);
    request.off('data', onData);
  }

  function fail(error: BodyError): void {
    if (isOver) return;
    stop();
    holding.release();
    done(E.left(error));
  }

  function hold(bodyBytes: number): void {
    if (!holding.resize(REQUEST_BYTES + bodyBytes)) fail('noRoom');
  }

  function onData(chunk: Buffer): void {
    heardAtMs = now();
    const heldBytes = collector.heldBytes();
    if (!collector.add(chunk)) fail('tooLarge');
    else if (collector.heldBytes() !== heldBytes) {
      hold(collector.heldBytes());
    }
  }

  request.on('data', onData);
  request.on('end', () => {
    if (isOver || !request.complete) return;
    stop();
    const { buffer, byteOffset, byteLength } = collector.bytes();
    holding.settle();
    holding.resize(REQUEST_BYTES + byteLength);
    const bytes = Buffer.from(buffer, byteOffset, byteLength);
    done(E.right({ bytes, release: holding.release }));
  });
  request.on('close', () => {
    if (isOver) return;
    stop();
    holding.release();
  });
  hold(0);
}
