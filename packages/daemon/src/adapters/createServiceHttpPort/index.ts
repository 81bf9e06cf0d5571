import { timeoutSignal } from '../_lib/timeoutSignal.ts';
import {
  ATTEMPT_ID_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  KEY_LOOKUP_PATH,
  keyLookupSchema,
  type KeyLookup,
  type KeyLookupBody,
  type ServiceAnswer,
  type ServiceCall,
  type ServicePort,
  type TargetError,
} from '@endivegate/contracts';
import {
  type AnswerBudget,
  createAnswerBudget,
} from '@endivegate/core/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import { Agent, Client, request, type Dispatcher } from 'undici';
import { toTargetError } from '../_lib/classifyError.ts';
import {
  MAX_BODY_BYTES,
  MAX_RECEIVED_BYTES,
  readBody,
  readTextBody,
} from '../_lib/readBody.ts';
import {
  discardBody,
  checkAttemptId,
  checkFraming,
  getHeader,
  isRefusal,
  parseJson,
  readTargetError,
} from '../_lib/targetAnswer.ts';

/** Options of {@link createServiceHttpPort}. */
export interface CreateServiceHttpPortOptions {
  /** Timeout for establishing a connection. */
  readonly connectTimeoutMs?: number;
}

/** HTTP client for plain services; owns a connection pool. */
export interface ServiceHttpPort extends ServicePort {
  readonly close: () => Promise<void>;
}

const DEFAULTS = { connectTimeoutMs: 1_000 } as const;

/** A stored answer is in base64. */
const MAX_KEY_LOOKUP_BYTES = 1.5 * MAX_BODY_BYTES;

const DEFAULT_CONTENT_TYPE = 'application/octet-stream';

/**
 * Creates the port to plain services over HTTP.
 *
 * @param options - Timeouts.
 * @returns The port.
 *
 * @example
 * const services = createServiceHttpPort();
 * const answer = await services.call(target, call)();
 */
export function createServiceHttpPort(
  options: CreateServiceHttpPortOptions = {},
): ServiceHttpPort {
  const settings = { ...DEFAULTS, ...options };
  const connect = { timeout: settings.connectTimeoutMs };
  const agent = new Agent({ connect });
  const budget = createAnswerBudget({ maxBytes: MAX_RECEIVED_BYTES });

  return {
    call: (target, call) => async () => {
      try {
        const response = await request(urlOf(target.url, call.path), {
          method: call.method,
          headers: headersOf(call),
          body: call.body.length > 0 ? call.body : null,
          signal: timeoutSignal(call.timeoutMs),
          dispatcher: agent,
        });
        return await readResponse(response, call.attemptId, budget);
      } catch (error) {
        return E.left(toTargetError(error));
      }
    },
    lookUpKey: (target, idempotencyKey, timeoutMs) => async () => {
      // The response names no key, so an earlier one on a kept connection would pass
      // for it.
      const client = new Client(target.url, { connect });
      try {
        const path = `${KEY_LOOKUP_PATH}${encodeURIComponent(idempotencyKey)}`;
        const response = await request(urlOf(target.url, path), {
          signal: timeoutSignal(timeoutMs),
          dispatcher: client,
        });
        if (response.statusCode !== 200) {
          return E.left(await readTargetError(response));
        }
        return parseKeyLookup(
          await readTextBody(response.body, {
            maxBytes: MAX_KEY_LOOKUP_BYTES,
            budget,
          }),
        );
      } catch (error) {
        return E.left(toTargetError(error));
      } finally {
        void client.destroy();
      }
    },
    close: () => agent.destroy(),
  };
}

async function readResponse(
  response: Dispatcher.ResponseData,
  attemptId: string,
  budget: AnswerBudget,
): Promise<E.Either<TargetError, ServiceAnswer>> {
  const { body, headers, statusCode } = response;
  const crossed = checkAttemptId(headers, attemptId);
  if (crossed) {
    discardBody(body);
    return E.left(crossed);
  }
  if (isRefusal(headers)) return E.left(await readTargetError(response));
  const unframed = checkFraming(response);
  if (unframed) return E.left(unframed);
  return E.right({
    attemptId,
    status: statusCode,
    contentType: getHeader(headers, 'content-type') ?? DEFAULT_CONTENT_TYPE,
    body: await readBody(body, { budget }),
  });
}

function headersOf(call: ServiceCall): Record<string, string> {
  return {
    [ATTEMPT_ID_HEADER]: call.attemptId,
    ...(call.contentType === undefined
      ? {}
      : { 'content-type': call.contentType }),
    ...(call.idempotencyKey === undefined
      ? {}
      : { [IDEMPOTENCY_KEY_HEADER]: call.idempotencyKey }),
  };
}

/** Appends a path to the service's root URL; the host cannot change. */
function urlOf(root: string, path: string): string {
  const base = root.replace(/\/+$/, '');
  return `${base}/${path.replace(/^\/+/, '')}`;
}

function parseKeyLookup(text: string): E.Either<TargetError, KeyLookup> {
  const body = keyLookupSchema.safeParse(parseJson(text)).data;
  if (!body) return E.left({ type: 'cut', reason: 'malformed answer' });
  return E.right(body.type === 'done' ? toDoneLookup(body) : body);
}

function toDoneLookup(
  body: KeyLookupBody & { readonly type: 'done' },
): KeyLookup {
  const { attemptId, status, contentType, bodyBase64 } = body;
  return {
    type: 'done',
    answer: {
      attemptId,
      status,
      contentType,
      body: new Uint8Array(Buffer.from(bodyBase64, 'base64')),
    },
  };
}
