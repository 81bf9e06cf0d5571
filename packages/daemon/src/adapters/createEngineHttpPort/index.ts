import { timeoutSignal } from '../_lib/timeoutSignal.ts';
import {
  ATTEMPT_ID_HEADER,
  attemptReportSchema,
  cacheEventsSchema,
  engineAssignmentSchema,
  loadReportSchema,
  reservationsSchema,
  type EnginePort,
  type EngineStream,
  type Target,
  type TargetError,
} from '@endivegate/contracts';
import { createAnswerBudget } from '@endivegate/core/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import { pipe } from 'fp-ts/lib/function.js';
import { Agent, Client, request, type Dispatcher } from 'undici';
import type { z } from 'zod';
import { toTargetError } from '../_lib/classifyError.ts';
import { MAX_RECEIVED_BYTES, readBody } from '../_lib/readBody.ts';
import {
  discardBody,
  checkAttemptId,
  checkFraming,
  ignoreBodyErrors,
  parseJson,
  readTargetError,
} from '../_lib/targetAnswer.ts';
import { readEngineStream } from './_lib/readEngineStream.ts';

/** Options of {@link createEngineHttpPort}. */
export interface CreateEngineHttpPortOptions {
  /** Timeout for establishing a connection. */
  readonly connectTimeoutMs?: number;
  /** Timeout until the headers of a response stream arrive. */
  readonly headTimeoutMs?: number;
  /** Timeout of a whole call without streaming. */
  readonly callTimeoutMs?: number;
}

/** HTTP client for engines; owns a connection pool. */
export interface EngineHttpPort extends EnginePort {
  readonly close: () => Promise<void>;
}

const DEFAULTS = {
  connectTimeoutMs: 1_000,
  headTimeoutMs: 5_000,
  callTimeoutMs: 2_000,
} as const;

/** One HTTP call to an engine. */
interface Call {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly body?: string | Uint8Array;
  readonly contentType?: string;
  readonly timeoutMs?: number;
  /** Whether a cut body would pass for a complete one; false by default. */
  readonly needsFraming?: boolean;
}

const JSON_TYPE = 'application/json';
const OCTET_STREAM_TYPE = 'application/octet-stream';

/**
 * Creates the port to engines over HTTP; docs/PROTOCOLS.md specifies the calls.
 *
 * @param options - Timeouts.
 * @returns The port.
 *
 * @example
 * const engines = createEngineHttpPort();
 * const stream = await engines.submit(target, submission, signal)();
 */
export function createEngineHttpPort(
  options: CreateEngineHttpPortOptions = {},
): EngineHttpPort {
  const settings = { ...DEFAULTS, ...options };
  const connect = { timeout: settings.connectTimeoutMs };
  // The entry decides when a silent stream has failed, so no body timeout here.
  const agent = new Agent({ connect, bodyTimeout: 0 });
  const budget = createAnswerBudget({ maxBytes: MAX_RECEIVED_BYTES });

  function openStream(
    target: Target,
    stream: {
      readonly call: Call;
      readonly attemptId: string;
      readonly fromOffset: number;
      readonly signal: AbortSignal;
    },
  ): TE.TaskEither<TargetError, EngineStream> {
    const { call, attemptId, fromOffset, signal } = stream;
    return async () => {
      if (signal.aborted) return E.left(abortedBeforeSend);
      try {
        const response = await request(urlOf(target, call.path), {
          ...toRequest(call),
          headers: { ...headersOf(call), [ATTEMPT_ID_HEADER]: attemptId },
          headersTimeout: call.timeoutMs ?? settings.headTimeoutMs,
          signal,
          dispatcher: agent,
        });
        const { body, headers, statusCode } = response;
        const crossed = checkAttemptId(headers, attemptId);
        if (crossed) {
          discardBody(body);
          return E.left(crossed);
        }
        ignoreBodyErrors(body);
        if (statusCode !== 200) return E.left(await readTargetError(response));
        return E.right(readEngineStream(body, { attemptId, fromOffset }));
      } catch (error) {
        return E.left(toTargetError(error));
      }
    };
  }

  function send(
    target: Target,
    call: Call,
    dispatcher: Dispatcher = agent,
  ): TE.TaskEither<TargetError, Uint8Array> {
    return async () => {
      try {
        const response = await request(urlOf(target, call.path), {
          ...toRequest(call),
          headers: headersOf(call),
          signal: timeoutSignal(call.timeoutMs ?? settings.callTimeoutMs),
          dispatcher,
        });
        const isOk = response.statusCode < 300;
        if (!isOk) return E.left(await readTargetError(response));
        const needsFraming = call.needsFraming === true;
        const unframed = needsFraming ? checkFraming(response) : undefined;
        return unframed === undefined
          ? E.right(await readBody(response.body, { budget }))
          : E.left(unframed);
      } catch (error) {
        return E.left(toTargetError(error));
      }
    };
  }

  /** Sends a call whose response names nothing of it, so that a late one on a kept
   * connection would pass for that of another call. */
  function sendAlone(
    target: Target,
    call: Call,
  ): TE.TaskEither<TargetError, Uint8Array> {
    return async () => {
      const client = new Client(target.url, { connect });
      const answer = await send(target, call, client)();
      void client.destroy();
      return answer;
    };
  }

  function read<Schema extends z.ZodType>(
    target: Target,
    path: string,
    schema: Schema,
  ): TE.TaskEither<TargetError, z.output<Schema>> {
    return pipe(
      send(target, { method: 'GET', path }),
      TE.flatMapEither((bytes) => decode(schema, bytes)),
    );
  }

  return {
    submit: (target, submission, signal) =>
      openStream(target, {
        call: {
          method: 'POST',
          path: '/v1/attempts',
          body: JSON.stringify(submission),
          contentType: JSON_TYPE,
          timeoutMs: Math.min(settings.headTimeoutMs, submission.timeoutMs),
        },
        attemptId: submission.attemptId,
        fromOffset: 0,
        signal,
      }),
    resume: (target, attemptId, fromOffset, signal) =>
      openStream(target, {
        call: {
          method: 'GET',
          path: `${attemptPath(attemptId)}/stream?fromOffset=${fromOffset}`,
        },
        attemptId,
        fromOffset,
        signal,
      }),
    queryAttempt: (target, attemptId, timeoutMs) =>
      pipe(
        sendAlone(target, {
          method: 'GET',
          path: attemptPath(attemptId),
          timeoutMs,
        }),
        TE.flatMapEither((bytes) => decode(attemptReportSchema, bytes)),
      ),
    cancel: (target, attemptId) =>
      discardResult(
        sendAlone(target, { method: 'DELETE', path: attemptPath(attemptId) }),
      ),
    reserve: (target, { reservationId, tokens, lifetimeMs }) =>
      discardResult(
        sendAlone(target, {
          method: 'PUT',
          path: reservationPath(reservationId),
          body: JSON.stringify({ tokens, lifetimeMs }),
          contentType: JSON_TYPE,
        }),
      ),
    freeReservation: (target, reservationId) =>
      discardResult(
        sendAlone(target, {
          method: 'DELETE',
          path: reservationPath(reservationId),
        }),
      ),
    listReservations: (target) =>
      read(target, '/v1/reservations', reservationsSchema),
    exportKv: (target, attemptId) =>
      send(target, {
        method: 'GET',
        path: `${attemptPath(attemptId)}/kv`,
        needsFraming: true,
      }),
    importKv: (target, attemptId, kv) =>
      discardResult(
        send(target, {
          method: 'PUT',
          path: `${attemptPath(attemptId)}/kv`,
          body: kv,
          contentType: OCTET_STREAM_TYPE,
        }),
      ),
    cacheEvents: (target, afterSequence) =>
      read(
        target,
        `/v1/cache-events?after=${afterSequence}`,
        cacheEventsSchema,
      ),
    load: (target) => read(target, '/v1/load', loadReportSchema),
    order: (target, order) =>
      discardResult(
        sendAlone(target, {
          method: 'POST',
          path: '/v1/orders',
          body: JSON.stringify(order),
          contentType: JSON_TYPE,
          timeoutMs: order.timeoutMs,
        }),
      ),
    assignment: (target) =>
      read(target, '/v1/assignment', engineAssignmentSchema),
    close: () => agent.destroy(),
  };
}

const abortedBeforeSend: TargetError = { type: 'notSent', reason: 'aborted' };

function toRequest(
  call: Call,
): Pick<Dispatcher.RequestOptions, 'method' | 'body'> {
  return { method: call.method, body: call.body ?? null };
}

function headersOf(call: Call): Record<string, string> {
  return call.contentType === undefined
    ? {}
    : { 'content-type': call.contentType };
}

function urlOf(target: Target, path: string): string {
  return new URL(path, target.url).href;
}

function attemptPath(attemptId: string): string {
  return `/v1/attempts/${encodeURIComponent(attemptId)}`;
}

function reservationPath(reservationId: string): string {
  return `/v1/reservations/${encodeURIComponent(reservationId)}`;
}

function decode<Schema extends z.ZodType>(
  schema: Schema,
  bytes: Uint8Array,
): E.Either<TargetError, z.output<Schema>> {
  const parsed = schema.safeParse(parseJson(new TextDecoder().decode(bytes)));
  return parsed.success
    ? E.right(parsed.data)
    : E.left({ type: 'cut', reason: 'malformed answer' });
}

function discardResult(
  call: TE.TaskEither<TargetError, unknown>,
): TE.TaskEither<TargetError, void> {
  return TE.map(() => undefined)(call);
}
