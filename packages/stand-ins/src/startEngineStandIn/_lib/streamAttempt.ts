import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import {
  ATTEMPT_ID_HEADER,
  type EngineStreamLine,
} from '@endivegate/contracts';
import { tokenLine, type EngineAttempt } from './createAttempts.ts';
import type { StreamFault } from './faults.ts';

/** Options of {@link streamAttempt}. */
export interface StreamAttemptOptions {
  readonly response: ServerResponse;
  readonly fromOffset: number;
  readonly fault: StreamFault | undefined;
  /** Attempt whose items are sent in place of this one's by a `crossed` fault. */
  readonly otherAttempt: EngineAttempt | undefined;
  readonly isSilent: (socket: Socket) => boolean;
  readonly silence: (socket: Socket) => void;
  readonly onClose: () => void;
}

/**
 * Streams an attempt's answer, from an offset, as newline-delimited JSON.
 *
 * Each line is generated when it is written, so a slow reader delays only its
 * own stream and no output is buffered for it.
 *
 * @param attempt - The attempt.
 * @param options - The response to write to and the fault to apply.
 */
export function streamAttempt(
  attempt: EngineAttempt,
  options: StreamAttemptOptions,
): void {
  const { response, fault } = options;
  const socket = response.socket;
  let offset = options.fromOffset;
  let items = 0;
  let blocked = false;

  function pump(): void {
    while (!blocked && !response.writableEnded && hasMore()) sendNext();
  }

  function hasMore(): boolean {
    return offset < attempt.emittedTokens || attempt.end !== undefined;
  }

  function sendNext(): void {
    if (!socket || options.isSilent(socket)) {
      blocked = true;
      return;
    }
    if (fault && items >= fault.afterItems && applyFault(fault)) return;
    items += 1;
    if (offset < attempt.emittedTokens) {
      write(tokenLine(attempt, offset));
      offset += 1;
    } else if (attempt.end) {
      write(attempt.end);
      response.end();
    }
  }

  /** Applies the fault; returns whether the next item must not be sent. */
  function applyFault(activeFault: StreamFault): boolean {
    if (activeFault.type === 'cut') socket?.destroy();
    if (activeFault.type === 'unended') response.end();
    if (activeFault.type === 'silent' && socket) options.silence(socket);
    if (activeFault.type === 'doubled') {
      if (offset > options.fromOffset) write(tokenLine(attempt, offset - 1));
      return false;
    }
    if (activeFault.type === 'crossed') {
      write(
        tokenLine(options.otherAttempt ?? unrelatedAttempt(attempt), offset),
      );
    }
    blocked = true;
    return true;
  }

  function write(line: EngineStreamLine): void {
    if (response.write(`${JSON.stringify(line)}\n`)) return;
    blocked = true;
    response.once('drain', () => {
      blocked = false;
      pump();
    });
  }

  attempt.listeners.add(pump);
  response.once('close', () => {
    attempt.listeners.delete(pump);
    options.onClose();
  });
  response.writeHead(200, {
    'content-type': 'application/x-ndjson',
    [ATTEMPT_ID_HEADER]: attempt.attemptId,
  });
  response.flushHeaders();
  pump();
}

function unrelatedAttempt(attempt: EngineAttempt): EngineAttempt {
  return { ...attempt, attemptId: `${attempt.attemptId}-other` };
}
