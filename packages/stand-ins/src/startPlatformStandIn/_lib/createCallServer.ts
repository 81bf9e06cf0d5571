import {
  PURPOSE_HEADER,
  type PlatformError,
  type PlatformRefusal,
} from '@endivegate/contracts';
import type { FastifyReply, FastifyRequest } from 'fastify';
import * as E from 'fp-ts/lib/Either.js';
import { setTimeout as sleep } from 'node:timers/promises';
import type { z } from 'zod';
import {
  headerOf,
  type StandInServer,
} from '../../_lib/createStandInServer.ts';
import { parseBody } from '../../_lib/parseBody.ts';
import { createRateLimit } from './createRateLimit.ts';
import type { PlatformFaults } from './faults.ts';

/** Number of calls that a platform stand-in received. */
export interface PlatformCounts {
  readonly reads: number;
  readonly writes: number;
  readonly rateLimited: number;
  readonly byPurpose: Readonly<Record<string, number>>;
}

/** Result of a call: its answer, or the reason why it had no effect. */
export type CallResult = E.Either<PlatformError, unknown>;

/** One kind of call to the platform. */
export interface PlatformCall<Schema extends z.ZodType> {
  readonly kind: 'read' | 'write';
  readonly schema: Schema;
  readonly run: (
    body: z.output<Schema>,
    reply: FastifyReply,
  ) => CallResult | Promise<CallResult>;
}

/** Serves calls with the platform's rate limits and faults applied. */
export interface CallServer {
  readonly serve: <Schema extends z.ZodType>(
    call: PlatformCall<Schema>,
  ) => (request: FastifyRequest, reply: FastifyReply) => Promise<unknown>;
  readonly counts: () => PlatformCounts;
}

/** Options of {@link createCallServer}. */
export interface CreateCallServerOptions {
  readonly server: StandInServer;
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
  readonly faults: () => PlatformFaults;
  /** Returns a uniform random number in [0, 1). */
  readonly random: () => number;
}

/** HTTP status of each refusal. */
const REFUSAL_STATUS = {
  rateLimited: 429,
  conflict: 409,
  leaseLapsed: 410,
  valueTooLarge: 413,
} as const satisfies Record<PlatformRefusal['type'], number>;

/**
 * Creates the layer that applies rate limits and faults to calls of the store.
 *
 * @param options - Rate limits, faults and the server.
 * @returns The call server.
 */
export function createCallServer(options: CreateCallServerOptions): CallServer {
  const { faults, random, server } = options;
  const limits = {
    read: createRateLimit(options.readsPerSecond),
    write: createRateLimit(options.writesPerSecond),
  };
  let counts: PlatformCounts = {
    reads: 0,
    writes: 0,
    rateLimited: 0,
    byPurpose: {},
  };

  function count(request: FastifyRequest, kind: 'read' | 'write'): void {
    const purpose = headerOf(request, PURPOSE_HEADER) ?? 'none';
    const byPurpose = {
      ...counts.byPurpose,
      [purpose]: (counts.byPurpose[purpose] ?? 0) + 1,
    };
    const counted = kind === 'read' ? 'reads' : 'writes';
    counts = { ...counts, byPurpose, [counted]: counts[counted] + 1 };
  }

  return {
    counts: () => counts,
    serve: (call) => async (request, reply) => {
      count(request, call.kind);
      const retryAfterMs = limits[call.kind].take(performance.now());
      if (retryAfterMs > 0) {
        counts = { ...counts, rateLimited: counts.rateLimited + 1 };
        return refuse(reply, { type: 'rateLimited', retryAfterMs });
      }
      const body = parseBody(call.schema, request.body, reply);
      if (body === undefined) return reply;
      if (faults().delayMs > 0) await sleep(faults().delayMs);
      if (random() < faults().lostCallRate) return destroyConnection(reply);
      const result = await call.run(body, reply);
      const tookEffect = call.kind === 'write' && E.isRight(result);
      if (tookEffect && random() < faults().lostReplyRate)
        return destroyConnection(reply);
      if (server.isSilent(request.socket)) return reply.hijack();
      if (E.isRight(result)) return reply.send(result.right);
      return refuse(reply, toRefusal(result.left));
    },
  };
}

function destroyConnection(reply: FastifyReply): FastifyReply {
  reply.hijack();
  reply.raw.destroy();
  return reply;
}

function refuse(reply: FastifyReply, refusal: PlatformRefusal): FastifyReply {
  return reply.code(REFUSAL_STATUS[refusal.type]).send(refusal);
}

function toRefusal(error: PlatformError): PlatformRefusal {
  switch (error.type) {
    case 'conflict':
      return { type: 'conflict', current: error.current ?? null };
    case 'rateLimited':
    case 'leaseLapsed':
    case 'valueTooLarge':
      return error;
    case 'unreachable':
    case 'replyLost':
      throw new Error(`unexpected error type from the store: ${error.type}`);
  }
}
