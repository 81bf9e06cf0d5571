import type { EntryAddress } from '@endivegate/contracts';
import type { RelayAnswerHead } from '@endivegate/contracts/peers';
import type { NewRequestDecision, NewRequestRefusal } from '@endivegate/core';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import * as E from 'fp-ts/lib/Either.js';
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import type { PeerClient } from '../../peers/index.ts';
import { relayRequest, type RelayError } from '../relayRequest/index.ts';
import { RELAYED_HEADER, forwardedHeaders } from '../serveLocally/index.ts';

/** Options of {@link registerRelay}. */
export interface RegisterRelayOptions {
  readonly client: Pick<PeerClient, 'openRelay' | 'connect'>;
  /** Decides whether this entry accepts a new request. */
  readonly decide: () => NewRequestDecision;
  /**
   * Returns the home entries of a request, in order of preference; empty if
   * this entry is to serve it.
   */
  readonly homesFor: (request: FastifyRequest) => readonly EntryAddress[];
  /** Sends the error response for a request that is refused and has not run. */
  readonly refuse: (
    reply: FastifyReply,
    refusal: NewRequestRefusal,
  ) => FastifyReply;
  /**
   * Ends an answer whose connection broke after the headers were sent; without
   * it, the connection to the caller is destroyed.
   */
  readonly cutOff?: (response: ServerResponse, requestId: string) => void;
  readonly timeoutMs?: number;
}

/** The requests that a callers' server relays. */
export interface OpenRelays {
  /** Breaks off all relayed requests that are open. Their callers are told that it is unknown
   * whether they ran. */
  readonly breakOff: () => void;
}

/** Maximum duration of a relayed request. */
const RELAY_TIMEOUT_MS = 900_000;

/** Number of home entries tried before the entry serves a request itself. */
const MAX_HOMES_TRIED = 2;

/**
 * Makes a callers' server relay requests to their home entries.
 *
 * A request that another entry has relayed is always served here. If no home
 * entry can be reached and nothing was sent, the entry serves the request
 * itself, unless it is leaving.
 *
 * @param server - The callers' server, before it listens.
 * @param options - The home entries, the decision on new requests and the
 *   responses to requests that are not relayed.
 * @returns The relayed requests that are open.
 */
export function registerRelay(
  server: FastifyInstance,
  options: RegisterRelayOptions,
): OpenRelays {
  const openRelays = new Set<AbortController>();
  server.addHook('preHandler', async (request, reply) => {
    if (request.method !== 'POST' || request.headers[RELAYED_HEADER] === '1') {
      return;
    }
    const decision = options.decide();
    if (decision.type === 'refuse') return options.refuse(reply, decision);
    const homes = options.homesFor(request).slice(0, MAX_HOMES_TRIED);
    const handled = await relayToFirstReachable(homes, {
      request,
      reply,
      options,
      openRelays,
    });
    if (handled || decision.type === 'serve') return;
    // A leaving entry does not start to serve requests itself.
    return options.refuse(reply, LEAVING_REFUSAL);
  });
  return {
    breakOff: () => {
      openRelays.forEach((relay) => {
        relay.abort();
      });
    },
  };
}

const LEAVING_REFUSAL: NewRequestRefusal = {
  type: 'refuse',
  reason: 'leaving',
  retryAfterMs: 0,
};

interface RelayContext {
  readonly request: FastifyRequest;
  readonly reply: FastifyReply;
  readonly options: RegisterRelayOptions;
  readonly openRelays: Set<AbortController>;
}

/**
 * Tries the home entries in order until one of them may have run the request.
 * Returns whether a response was sent to the caller.
 */
async function relayToFirstReachable(
  homes: readonly EntryAddress[],
  context: RelayContext,
): Promise<boolean> {
  const [home, ...others] = homes;
  if (!home) return false;
  const error = await relayTo(home, context);
  if (error === undefined) return true;
  if (error.type === 'cut') {
    endBrokenAnswer(context);
    return true;
  }
  return relayToFirstReachable(others, context);
}

/** Relays to one entry; returns an error if the answer is not complete. */
async function relayTo(
  home: EntryAddress,
  { request, reply, options, openRelays }: RelayContext,
): Promise<RelayError | undefined> {
  const relay = new AbortController();
  openRelays.add(relay);
  const response = reply.raw;
  const onClose = () => {
    if (!response.writableFinished) relay.abort();
  };
  response.once('close', onClose);
  const end = await relayRequest(
    home,
    {
      head: {
        requestId: request.id,
        method: request.method,
        path: request.url,
        headers: {
          ...forwardedHeaders(request.headers),
          'x-request-id': request.id,
        },
        hops: 1,
        timeoutMs: options.timeoutMs ?? RELAY_TIMEOUT_MS,
      },
      body: bodyBytes(request.body),
      signal: relay.signal,
      sink: {
        writeHead: (head) => {
          writeHead(reply, head);
        },
        writeChunk: (chunk) => writeChunk(response, chunk, relay.signal),
      },
    },
    { client: options.client },
  )();
  response.off('close', onClose);
  openRelays.delete(relay);
  if (E.isLeft(end)) return end.left;
  response.end();
  return undefined;
}

function writeHead(reply: FastifyReply, head: RelayAnswerHead): void {
  reply.hijack();
  reply.raw.writeHead(head.status, head.headers);
}

async function writeChunk(
  response: ServerResponse,
  chunk: Uint8Array,
  signal: AbortSignal,
): Promise<void> {
  if (!response.write(chunk)) await once(response, 'drain', { signal });
}

/** Ends the answer of a request that may have run, which is not sent again. */
function endBrokenAnswer({ request, reply, options }: RelayContext): void {
  const response = reply.raw;
  if (!response.headersSent) {
    reply.hijack();
    response.writeHead(502, {
      'content-type': 'application/json',
      'endivegate-ran': 'unknown',
      'x-request-id': request.id,
    });
    response.end(
      JSON.stringify({
        error: {
          message: 'The entry that served the request broke off.',
          type: 'server_error',
          code: 'relay_cut',
          param: null,
          ran: 'unknown',
          request_id: request.id,
          retry_after_ms: null,
        },
      }),
    );
    return;
  }
  if (options.cutOff) options.cutOff(response, request.id);
  else response.destroy();
}

function bodyBytes(body: unknown): Uint8Array {
  if (body === undefined || body === null) return new Uint8Array();
  if (body instanceof Uint8Array) return body;
  return Buffer.from(typeof body === 'string' ? body : JSON.stringify(body));
}
