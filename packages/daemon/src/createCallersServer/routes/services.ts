import { createHash } from 'node:crypto';
import type { RequestInfo } from '@endivegate/core';
import type { FastifyInstance, FastifyRequest } from 'fastify';
import { authenticate } from '../_lib/authenticate.ts';
import type { CallersContext } from '../_lib/context.ts';
import { type InputError, sendInputError } from '../_lib/errors.ts';
import { receiveRequest } from '../_lib/receiveRequest.ts';
import { createCallSink } from '../_lib/replySinks.ts';

const SERVICE_PREFIX = '/v1/services/';
const DEFAULT_CALL_KIND = 'call';
const SAFE_METHODS: readonly string[] = ['GET', 'HEAD'];
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,200}$/;

/**
 * Registers the route that forwards calls to plain services.
 *
 * @param server - The callers' server.
 * @param context - The entry.
 */
export function registerServiceRoutes(
  server: FastifyInstance,
  context: CallersContext,
): void {
  void server.register((scope, _options, done) => {
    scope.removeAllContentTypeParsers();
    scope.addContentTypeParser(
      '*',
      { parseAs: 'buffer' },
      (_request, body, parsed) => {
        parsed(null, body);
      },
    );
    scope.all<{ Params: { service: string } }>(
      `${SERVICE_PREFIX}:service/*`,
      (request, reply) => {
        const workspace = authenticate(context, request, reply);
        if (workspace === undefined) return reply;
        const service = request.params.service;
        if (!context.services().includes(service)) {
          return sendInputError(reply, request.id, {
            status: 404,
            code: 'unknown_service',
            message: `No target serves "${service}".`,
          });
        }
        const info = createCallInfo(context, request, { workspace, service });
        const error = checkIdempotencyKey(info);
        if (error) return sendInputError(reply, request.id, error);
        receiveRequest(context, reply, {
          info,
          work: {
            type: 'call',
            method: request.method,
            path: servicePath(request, service),
            contentType: request.headers['content-type'],
            body: bodyOf(request),
          },
          sink: createCallSink({ reply, requestId: request.id }),
        });
        return reply;
      },
    );
    done();
  });
}

function servicePath(request: FastifyRequest, service: string): string {
  const encoded = encodeURIComponent(service);
  return request.url.slice(SERVICE_PREFIX.length + encoded.length);
}

function bodyOf(request: FastifyRequest): Uint8Array {
  return Buffer.isBuffer(request.body) ? request.body : new Uint8Array();
}

function createCallInfo(
  context: CallersContext,
  request: FastifyRequest,
  names: { readonly workspace: string; readonly service: string },
): RequestInfo {
  const kind = headerValue(request, 'endivegate-kind') ?? DEFAULT_CALL_KIND;
  const row = context.resolveCallRow({ ...names, kind });
  const arrivedAtMs = context.runtime.nowMs();
  return {
    requestId: request.id,
    ...names,
    kind,
    promptTokens: 0,
    maxOutputTokens: 0,
    lengthClass: 'short',
    arrivedAtMs,
    deadlineAtMs: arrivedAtMs + row.deadlineMs,
    priority: row.priority,
    fingerprint: callFingerprint(request, names),
    prefixHashes: [],
    idempotencyKey: headerValue(request, 'idempotency-key'),
    repeatable: SAFE_METHODS.includes(request.method) || row.repeatable,
  };
}

function callFingerprint(
  request: FastifyRequest,
  names: { readonly workspace: string; readonly service: string },
): string {
  const head = JSON.stringify([names, request.method, request.url]);
  return createHash('sha256')
    .update(head)
    .update(bodyOf(request))
    .digest('base64url')
    .slice(0, 22);
}

function headerValue(
  request: FastifyRequest,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function checkIdempotencyKey(info: RequestInfo): InputError | undefined {
  const key = info.idempotencyKey;
  if (key !== undefined && !IDEMPOTENCY_KEY_PATTERN.test(key)) {
    return {
      status: 400,
      code: 'invalid_idempotency_key',
      message: 'Idempotency-Key takes 1 to 200 visible ASCII characters.',
      param: 'idempotency-key',
    };
  }
  if (info.repeatable || key !== undefined) return undefined;
  return {
    status: 400,
    code: 'idempotency_key_required',
    message: 'This call may not be repeated; send an Idempotency-Key.',
    param: 'idempotency-key',
  };
}
