import { adminErrorBodySchema } from '@endivegate/contracts';
import { collectBytes } from '@endivegate/core/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import { type Dispatcher, request } from 'undici';
import type { z } from 'zod';
import type { CliError } from '../cliError.ts';
import { EXIT_CODE_OF_ERROR, EXIT_CODES } from '../exitCodes.ts';

/** A call to the operators' API. */
export interface AdminCall<Schema extends z.ZodType> {
  readonly method?: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly query?: Readonly<Record<string, string | undefined>>;
  readonly body?: unknown;
  /** Schema of the answer. */
  readonly schema: Schema;
}

/** Client of one entry's operators' API. */
export type AdminClient = <Schema extends z.ZodType>(
  call: AdminCall<Schema>,
) => TaskEither<CliError, z.output<Schema>>;

/** Options of {@link createAdminClient}. */
export interface CreateAdminClientOptions {
  /** Root URL of the entry's operators' API. */
  readonly url: string;
  readonly token: string;
  /** Timeout of a whole call. */
  readonly timeoutMs?: number;
}

/** Timeout of a call, longer than an entry itself tries to settle an edit. */
const CALL_TIMEOUT_MS = 60_000;

/** Maximum size of a response: a table of many thousand rows has several MB. */
const MAX_BODY_BYTES = 64 * 1024 * 1024;

/**
 * Creates a client of one entry's operators' API.
 *
 * @param options - Address and token.
 * @returns The client.
 *
 * @example
 * const call = createAdminClient({ url, token });
 * await call({ path: '/v1/members', schema: membersBodySchema })();
 */
export function createAdminClient(
  options: CreateAdminClientOptions,
): AdminClient {
  const timeoutMs = options.timeoutMs ?? CALL_TIMEOUT_MS;
  return (call) => async () => {
    const answer = await send(options, call, timeoutMs);
    if (E.isLeft(answer)) return answer;
    const { status, body } = answer.right;
    if (status >= 400) return E.left(toAnswerError(status, body));
    const parsed = call.schema.safeParse(body);
    return parsed.success
      ? E.right(parsed.data)
      : E.left({
          exitCode: EXIT_CODES.failed,
          message: 'The response does not have the expected form.',
        });
  };
}

interface HttpAnswer {
  readonly status: number;
  readonly body: unknown;
}

async function send(
  options: CreateAdminClientOptions,
  call: AdminCall<z.ZodType>,
  timeoutMs: number,
): Promise<E.Either<CliError, HttpAnswer>> {
  const headers = {
    authorization: `Bearer ${options.token}`,
    ...(call.body === undefined ? {} : { 'content-type': 'application/json' }),
  };
  try {
    const url = urlOf(options.url, call);
    const reply = await request(url, {
      method: call.method ?? 'GET',
      headers,
      body: call.body === undefined ? null : JSON.stringify(call.body),
      signal: AbortSignal.timeout(timeoutMs),
    });
    return E.right({
      status: reply.statusCode,
      body: parseJson(await readText(reply.body)),
    });
  } catch (error) {
    return E.left(toCallError(options.url, call, error));
  }
}

/** Reads a text body; throws when it is too large, which closes its connection. */
async function readText(
  body: Dispatcher.ResponseData['body'],
): Promise<string> {
  const collector = collectBytes({ maxBytes: MAX_BODY_BYTES });
  for await (const chunk of body as AsyncIterable<Uint8Array>) {
    if (!collector.add(chunk)) throw new RangeError('response too large');
  }
  return new TextDecoder().decode(collector.bytes());
}

/**
 * Creates the error of a call without a response. A call that changes something
 * is in doubt unless the connection was refused, as it may have taken effect.
 */
function toCallError(
  url: string,
  call: AdminCall<z.ZodType>,
  error: unknown,
): CliError {
  const reason = error instanceof Error ? error.message : String(error);
  const isRefused =
    error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
  const isInDoubt = (call.method ?? 'GET') !== 'GET' && !isRefused;
  return {
    exitCode: isInDoubt ? EXIT_CODES.inDoubt : EXIT_CODES.entryUnreachable,
    message: `No response from ${url}: ${reason}`,
  };
}

function urlOf(root: string, call: AdminCall<z.ZodType>): URL {
  const url = new URL(call.path, root);
  Object.entries(call.query ?? {}).forEach(([name, value]) => {
    if (value !== undefined) url.searchParams.set(name, value);
  });
  return url;
}

function toAnswerError(status: number, body: unknown): CliError {
  const parsed = adminErrorBodySchema.safeParse(body);
  if (!parsed.success) {
    return {
      exitCode: EXIT_CODES.failed,
      message: `The entry answered with status ${status}.`,
    };
  }
  const { type, message, conflicts, findings } = parsed.data.error;
  return { exitCode: EXIT_CODE_OF_ERROR[type], message, conflicts, findings };
}

function parseJson(text: string): unknown {
  return E.toUnion(
    E.tryCatch(
      () => JSON.parse(text) as unknown,
      () => undefined,
    ),
  );
}
