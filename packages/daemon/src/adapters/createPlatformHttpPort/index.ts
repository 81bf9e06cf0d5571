import { timeoutSignal } from '../_lib/timeoutSignal.ts';
import {
  getAnswerSchema,
  instanceListSchema,
  keyValueSchema,
  leaseSchema,
  listAnswerSchema,
  platformRefusalSchema,
  PURPOSE_HEADER,
  watchBatchSchema,
  type PlatformError,
  type PlatformPort,
  type StoreCallOptions,
} from '@endivegate/contracts';
import * as E from 'fp-ts/lib/Either.js';
import * as TE from 'fp-ts/lib/TaskEither.js';
import { pipe } from 'fp-ts/lib/function.js';
import { Agent, request, type Dispatcher } from 'undici';
import { z } from 'zod';
import { isNotSent } from '../_lib/classifyError.ts';
import { readTextBody } from '../_lib/readBody.ts';
import { parseJson } from '../_lib/targetAnswer.ts';

/** Options of {@link createPlatformHttpPort}. */
export interface CreatePlatformHttpPortOptions {
  /** Base URL of the platform's services. */
  readonly url: string;
  /** Default timeout of a call; the wait time of a watch is added to it. */
  readonly timeoutMs?: number;
  readonly connectTimeoutMs?: number;
}

/** HTTP client for the platform; owns a connection pool. */
export interface PlatformHttpPort extends PlatformPort {
  readonly close: () => Promise<void>;
}

const DEFAULTS = { timeoutMs: 2_000, connectTimeoutMs: 1_000 } as const;

const unusedBodySchema = z.unknown();

/**
 * Creates the port to the platform over HTTP.
 *
 * @param options - URL of the platform, and timeouts.
 * @returns The port.
 *
 * @example
 * const platform = createPlatformHttpPort({ url: 'http://127.0.0.1:4000' });
 * const value = await platform.get('key', { purpose: 'table' })();
 */
export function createPlatformHttpPort(
  options: CreatePlatformHttpPortOptions,
): PlatformHttpPort {
  const settings = { ...DEFAULTS, ...options };
  const agent = new Agent({ connect: { timeout: settings.connectTimeoutMs } });

  function call<Schema extends z.ZodType>(
    path: string,
    body: object,
    expected: {
      readonly schema: Schema;
      readonly options: StoreCallOptions;
      readonly waitMs?: number;
    },
  ): TE.TaskEither<PlatformError, z.output<Schema>> {
    const { purpose, timeoutMs } = expected.options;
    const totalTimeoutMs =
      (timeoutMs ?? settings.timeoutMs) + (expected.waitMs ?? 0);
    return async () => {
      try {
        const response = await request(new URL(path, settings.url), {
          method: 'POST',
          headers: {
            'content-type': 'application/json',
            [PURPOSE_HEADER]: purpose,
          },
          body: JSON.stringify(body),
          signal: timeoutSignal(totalTimeoutMs),
          headersTimeout: totalTimeoutMs,
          dispatcher: agent,
        });
        return await readResponse(response, expected.schema);
      } catch (error) {
        return E.left(toPlatformError(error));
      }
    };
  }

  return {
    get: (key, callOptions) =>
      pipe(
        call(
          '/v1/kv/get',
          { key },
          { schema: getAnswerSchema, options: callOptions },
        ),
        TE.map(({ found }) => found ?? undefined),
      ),
    list: (prefix, { limit, ...callOptions }) =>
      pipe(
        call(
          '/v1/kv/list',
          { prefix, limit },
          { schema: listAnswerSchema, options: callOptions },
        ),
        TE.map(({ found }) => found),
      ),
    compareAndSwap: (put, callOptions) =>
      call('/v1/kv/cas', put, { schema: keyValueSchema, options: callOptions }),
    compareAndDelete: (entry, callOptions) =>
      discardResult(
        call('/v1/kv/delete', entry, {
          schema: unusedBodySchema,
          options: callOptions,
        }),
      ),
    watch: (query, callOptions) =>
      call('/v1/kv/watch', query, {
        schema: watchBatchSchema,
        options: callOptions,
        waitMs: query.waitMs,
      }),
    grantLease: (ttlMs, callOptions) =>
      call(
        '/v1/leases/grant',
        { ttlMs },
        { schema: leaseSchema, options: callOptions },
      ),
    renewLease: (leaseId, callOptions) =>
      call(
        '/v1/leases/renew',
        { leaseId },
        { schema: leaseSchema, options: callOptions },
      ),
    revokeLease: (leaseId, callOptions) =>
      discardResult(
        call(
          '/v1/leases/revoke',
          { leaseId },
          { schema: unusedBodySchema, options: callOptions },
        ),
      ),
    instances: (callOptions) =>
      call(
        '/v1/instances',
        {},
        { schema: instanceListSchema, options: callOptions },
      ),
    close: () => agent.destroy(),
  };
}

/** A call with a malformed response may still have taken effect. */
async function readResponse<Schema extends z.ZodType>(
  response: Dispatcher.ResponseData,
  schema: Schema,
): Promise<E.Either<PlatformError, z.output<Schema>>> {
  const body = parseJson(await readTextBody(response.body));
  if (response.statusCode >= 300) return E.left(parseRefusal(body));
  const parsed = schema.safeParse(body);
  return parsed.success ? E.right(parsed.data) : E.left(replyLost);
}

function parseRefusal(body: unknown): PlatformError {
  const refusal = platformRefusalSchema.safeParse(body).data;
  if (!refusal) return replyLost;
  if (refusal.type !== 'conflict') return refusal;
  return { type: 'conflict', current: refusal.current ?? undefined };
}

function toPlatformError(error: unknown): PlatformError {
  return isNotSent(error) ? { type: 'unreachable' } : replyLost;
}

const replyLost: PlatformError = { type: 'replyLost' };

function discardResult(
  call: TE.TaskEither<PlatformError, unknown>,
): TE.TaskEither<PlatformError, void> {
  return TE.map(() => undefined)(call);
}
