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
import * as E from 'fp-ts/lib/Either.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import { pipe } from 'fp-ts/lib/function.js';
import { Agent, Client, request, type Dispatcher } from 'undici';
import type { z } from 'zod';
import { toTargetError } from '../_lib/classifyError.ts';
import {
  discardBody,
  findCrossed,
  guardBody,
  parseJson,
  readTargetError,
} from '../_lib/targetAnswer.ts';
import { readEngineStream } from './_lib/readEngineStream.ts';

/** Options of {@link createEngineHttpPort}. */
export interface CreateEngineHttpPortOptions {
  /** Time to make a connection. */
  readonly connectTimeoutMs?: number;
  /** Time until the head of an answer stream. */
  readonly headTimeoutMs?: number;
  /** Time for a whole call that does not stream. */
  readonly callTimeoutMs?: number;
}

/** Engines over HTTP, with the connections it keeps. */
export interface EngineHttpPort extends EnginePort {
  readonly close: () => Promise<void>;
}

const DEFAULTS = {
  connectTimeoutMs: 1_000,
  headTimeoutMs: 5_000,
  callTimeoutMs: 2_000,
} as const;

/** One call to an engine that does not stream. */
interface Call {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly body?: string | Uint8Array;
  readonly contentType?: string;
  readonly timeoutMs?: number;
}

const JSON_TYPE = 'application/json';
const OCTETS_TYPE = 'application/octet-stream';

/**
 * Creates the port to engines over HTTP; docs/PROTOCOLS.md states the calls.
 *
 * @param options - Time-outs.
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
  // A stream's silence is judged by the entry, not by the connection.
  const agent = new Agent({ connect, bodyTimeout: 0 });

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
        const crossed = findCrossed(headers, attemptId);
        if (crossed) {
          discardBody(body);
          return E.left(crossed);
        }
        guardBody(body);
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
        return E.right(await response.body.bytes());
      } catch (error) {
        return E.left(toTargetError(error));
      }
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
    queryAttempt: (target, attemptId, timeoutMs) => async () => {
      const fresh = new Client(target.url, { connect });
      const call = { method: 'GET', path: attemptPath(attemptId), timeoutMs };
      const answer = await send(target, call, fresh)();
      void fresh.destroy();
      return pipe(
        answer,
        E.flatMap((bytes) => decode(attemptReportSchema, bytes)),
      );
    },
    cancel: (target, attemptId) =>
      done(send(target, { method: 'DELETE', path: attemptPath(attemptId) })),
    reserve: (target, { reservationId, tokens, lifetimeMs }) =>
      done(
        send(target, {
          method: 'PUT',
          path: reservationPath(reservationId),
          body: JSON.stringify({ tokens, lifetimeMs }),
          contentType: JSON_TYPE,
        }),
      ),
    freeReservation: (target, reservationId) =>
      done(
        send(target, {
          method: 'DELETE',
          path: reservationPath(reservationId),
        }),
      ),
    listReservations: (target) =>
      read(target, '/v1/reservations', reservationsSchema),
    exportKv: (target, attemptId) =>
      send(target, { method: 'GET', path: `${attemptPath(attemptId)}/kv` }),
    importKv: (target, attemptId, kv) =>
      done(
        send(target, {
          method: 'PUT',
          path: `${attemptPath(attemptId)}/kv`,
          body: kv,
          contentType: OCTETS_TYPE,
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
      done(
        send(target, {
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

function done(
  call: TE.TaskEither<TargetError, unknown>,
): TE.TaskEither<TargetError, void> {
  return TE.map(() => undefined)(call);
}
