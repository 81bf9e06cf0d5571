import {
  type ChatBody,
  chatBodySchema,
  type CompletionBody,
  completionBodySchema,
  lengthClassOf,
} from '@endivegate/contracts';
import type { RequestInfo } from '@endivegate/core';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import type { z } from 'zod';
import { describePrompt } from '../../describePrompt/index.ts';
import {
  type AnswerShape,
  type AnswerShapeOptions,
  chatShape,
  completionShape,
} from '../_lib/answerShape.ts';
import { authenticate } from '../_lib/authenticate.ts';
import type { CallersContext } from '../_lib/context.ts';
import { sendInputError } from '../_lib/errors.ts';
import { receiveRequest } from '../_lib/receiveRequest.ts';
import { createStreamSink } from '../_lib/streamSink.ts';
import { createBufferedSink } from '../_lib/replySinks.ts';

const DEFAULT_MAX_OUTPUT_TOKENS = 512;
const MS_PER_SECOND = 1_000;

interface PromptRoute<Body extends ChatBody | CompletionBody> {
  readonly path: string;
  readonly schema: z.ZodType<Body>;
  readonly promptOf: (body: Body) => string;
  readonly shapeOf: (options: AnswerShapeOptions) => AnswerShape;
}

/**
 * Registers the routes for prompts: chat completions and completions.
 *
 * @param server - The callers' server.
 * @param context - The entry.
 */
export function registerPromptRoutes(
  server: FastifyInstance,
  context: CallersContext,
): void {
  registerPromptRoute(server, context, {
    path: '/v1/chat/completions',
    schema: chatBodySchema,
    promptOf: joinMessages,
    shapeOf: chatShape,
  });
  registerPromptRoute(server, context, {
    path: '/v1/completions',
    schema: completionBodySchema,
    promptOf: (body) => body.prompt,
    shapeOf: completionShape,
  });
}

function registerPromptRoute<Body extends ChatBody | CompletionBody>(
  server: FastifyInstance,
  context: CallersContext,
  route: PromptRoute<Body>,
): void {
  server.post(route.path, (request, reply) => {
    const workspace = authenticate(context, request, reply);
    if (workspace === undefined) return reply;
    const body = route.schema.safeParse(request.body);
    if (!body.success) return sendBodyError(request, reply, body.error);
    if (!context.models().includes(body.data.model)) {
      return sendUnknownModel(request, reply, body.data.model);
    }
    const prompt = route.promptOf(body.data);
    const info = createPromptInfo(context, {
      requestId: request.id,
      workspace,
      body: body.data,
      prompt,
    });
    receiveRequest(context, reply, {
      info,
      work: { type: 'prompt', prompt },
      sink: createSink(route, body.data, info, reply),
    });
    return reply;
  });
}

function createSink<Body extends ChatBody | CompletionBody>(
  route: PromptRoute<Body>,
  body: Body,
  info: RequestInfo,
  reply: FastifyReply,
) {
  const requestId = info.requestId;
  const shape = route.shapeOf({
    requestId,
    model: body.model,
    promptTokens: info.promptTokens,
    createdS: Math.floor(Date.now() / MS_PER_SECOND),
  });
  return body.stream === true
    ? createStreamSink({ reply, requestId, shape })
    : createBufferedSink({ reply, requestId, shape });
}

function createPromptInfo(
  context: CallersContext,
  options: {
    readonly requestId: string;
    readonly workspace: string;
    readonly body: ChatBody | CompletionBody;
    readonly prompt: string;
  },
): RequestInfo {
  const { requestId, workspace, body, prompt } = options;
  const description = describePrompt(prompt, `${workspace}/${body.model}`);
  const lengthClass = lengthClassOf(description.promptTokens);
  const kind = body.kind ?? lengthClass;
  const row = context.resolvePromptRow({
    workspace,
    service: body.model,
    kind,
  });
  const arrivedAtMs = context.runtime.nowMs();
  return {
    requestId,
    workspace,
    service: body.model,
    kind,
    ...description,
    lengthClass,
    maxOutputTokens: body.max_tokens ?? DEFAULT_MAX_OUTPUT_TOKENS,
    arrivedAtMs,
    deadlineAtMs: arrivedAtMs + row.deadlineMs,
    priority: row.priority,
    idempotencyKey: undefined,
    repeatable: true,
    streamed: body.stream === true,
  };
}

function joinMessages(body: ChatBody): string {
  return body.messages
    .map((message) => `${message.role}: ${messageText(message.content)}\n`)
    .join('');
}

function messageText(content: ChatBody['messages'][number]['content']): string {
  if (typeof content === 'string') return content;
  return content.map((part) => part.text).join('');
}

function sendBodyError(
  request: FastifyRequest,
  reply: FastifyReply,
  error: z.ZodError,
): FastifyReply {
  const findings = error.issues.map((issue) => ({
    param: issue.path.map(String).join('.'),
    message: issue.message,
  }));
  return sendInputError(reply, request.id, {
    status: 400,
    code: 'invalid_body',
    message: findings.map((f) => `${f.param}: ${f.message}`).join('; '),
    param: findings[0]?.param ?? '',
  });
}

function sendUnknownModel(
  request: FastifyRequest,
  reply: FastifyReply,
  model: string,
): FastifyReply {
  return sendInputError(reply, request.id, {
    status: 404,
    code: 'unknown_model',
    message: `No target serves the model "${model}"; see /v1/models.`,
    param: 'model',
  });
}
