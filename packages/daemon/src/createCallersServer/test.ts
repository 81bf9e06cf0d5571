import { once } from 'node:events';
import { type AddressInfo, connect } from 'node:net';
import { DEFAULT_CELLS, DEFAULT_PROMPT_CELLS } from '@endivegate/core';
import type { RequestEnd } from '@endivegate/core';
import { expect } from 'chai';
import type { InjectOptions } from 'fastify';
import { createMetrics } from '../createMetrics/index.ts';
import { createOpenRequests } from '../createOpenRequests/index.ts';
import type { Runtime, UnstampedEvent } from '../runtime/index.ts';
import {
  type CallersContext,
  createCallersServer,
  type CreateCallersServerOptions,
} from './index.ts';

const AUTH = { authorization: 'Bearer secret-token' };

const HEAD = [
  'POST /v1/chat/completions HTTP/1.1',
  'Host: a',
  'Authorization: Bearer secret-token',
  'Content-Type: application/json',
  '',
].join('\r\n');

/** Creates a server that calls `decide` for each request it received. */
function createTestServer(
  decide: (context: CallersContext, requestId: string) => void,
  newRequestId = () => 'r1',
  limits: CreateCallersServerOptions = {},
) {
  const events: UnstampedEvent[] = [];
  const openRequests = createOpenRequests();
  const context: CallersContext = {
    runtime: {
      dispatch: (event) => {
        events.push(event);
        if (event.type !== 'request.received') return;
        decide(context, event.request.requestId);
      },
      nowMs: () => 1_000,
    } as Runtime,
    openRequests,
    metrics: createMetrics(),
    findWorkspace: (token) => (token === 'secret-token' ? 'w1' : undefined),
    resolvePromptRow: () => DEFAULT_PROMPT_CELLS,
    resolveCallRow: () => DEFAULT_CELLS,
    models: () => ['m1'],
    services: () => ['ledger'],
    entriesFor: () => ({ entries: [], ttlMs: 1 }),
    unreadyReasons: () => ['no table'],
    newRequestId,
    maxOpenRequests: 2,
  };
  const server = createCallersServer(context, {
    maxBodyBytes: 2_000,
    ...limits,
    receiveTimeoutMs: 200,
  });
  return { server, events, openRequests };
}

const answerTokens = (context: CallersContext, requestId: string): void => {
  const open = context.openRequests.find(requestId);
  void open?.sink
    .writeToken('Hello')
    .then(() => open.sink.writeToken(' there'))
    .then(() => {
      open.outputTokens = 2;
      open.finishReason = 'stop';
      const end: RequestEnd = { type: 'answered' };
      context.openRequests.finish(requestId, { ran: 'yes', end });
    });
};

const endWith =
  (end: RequestEnd) =>
  (context: CallersContext, requestId: string): void => {
    const ran = end.type === 'refused' ? 'no' : 'unknown';
    context.openRequests.finish(requestId, { ran, end });
  };

const ignoreReply = (): void => undefined;

const chat = (body: object): InjectOptions => ({
  method: 'POST',
  url: '/v1/chat/completions',
  headers: AUTH,
  payload: {
    model: 'm1',
    messages: [{ role: 'user', content: 'Hi' }],
    ...body,
  },
});

describe('createCallersServer', () => {
  it('rejects malformed input as not run and dispatches no event', async () => {
    const { server, events } = createTestServer(answerTokens);
    const inputs: Record<string, InjectOptions> = {
      noToken: { ...chat({}), headers: {} },
      badToken: { ...chat({}), headers: { authorization: 'Bearer x' } },
      unknownModel: chat({ model: 'm2' }),
      wrongType: chat({ messages: 'Hi', max_tokens: 'many' }),
      negativeTokens: chat({ max_tokens: -1 }),
      tooLong: chat({
        messages: [{ role: 'user', content: 'x'.repeat(3_000) }],
      }),
      notJson: {
        ...chat({}),
        payload: '{"model":',
        headers: { ...AUTH, 'content-type': 'application/json' },
      },
      notJsonType: {
        ...chat({}),
        payload: 'Hi',
        headers: { ...AUTH, 'content-type': 'text/csv' },
      },
      unknownRoute: { method: 'GET', url: '/v2/x', headers: AUTH },
      unknownService: { method: 'GET', url: '/v1/services/x/y', headers: AUTH },
      noKey: { method: 'POST', url: '/v1/services/ledger/pay', headers: AUTH },
      badKey: {
        method: 'POST',
        url: '/v1/services/ledger/pay',
        headers: { ...AUTH, 'idempotency-key': 'a b' },
      },
    };
    const answers = await Promise.all(
      Object.entries(inputs).map(async ([name, input]) => {
        const reply = await server.inject(input);
        return [
          name,
          reply.statusCode,
          reply.headers['endivegate-ran'],
          reply.json<object>(),
        ];
      }),
    );
    expect(answers).toMatchSnapshot();
    expect(events).to.deep.equal([]);
  });

  // Guards against bodies that together take more memory than there is.
  it('refuses a body without room as not run, and has room again afterwards', async () => {
    const { server } = createTestServer(ignoreReply, undefined, {
      maxHeldBytes: 3_000,
      receiveTimeoutMs: 60_000,
    });
    await server.listen({ host: '127.0.0.1', port: 0 });
    const { port } = server.server.address() as AddressInfo;
    const ask = async (body: string): Promise<string> => {
      const socket = connect(port, '127.0.0.1');
      socket.write(`${HEAD}Content-Length: 1900\r\n\r\n${body}`);
      const [answer] = (await once(socket, 'data')) as [Buffer];
      socket.destroy();
      return answer.toString();
    };
    const first = connect(port, '127.0.0.1');
    first.write(`${HEAD}Content-Length: 1900\r\n\r\nx`);
    await once(server.server, 'request');
    const refusal = await ask('x'.repeat(1900));
    expect(refusal).to.match(/^HTTP\/1.1 503 /);
    expect(refusal).to.include('endivegate-ran: no');
    expect(refusal).to.include('retry-after: 1');
    first.destroy();
    let answer = refusal;
    while (answer.includes(' 503 ')) answer = await ask('x'.repeat(1900));
    expect(answer).to.match(/^HTTP\/1.1 400 /);
    await server.close();
  });

  it('sends streamed and complete answers in both formats', async () => {
    const { server } = createTestServer(answerTokens);
    const inputs: InjectOptions[] = [
      chat({ stream: true }),
      chat({}),
      { ...chat({ prompt: 'Hi', stream: true }), url: '/v1/completions' },
      { ...chat({ prompt: 'Hi' }), url: '/v1/completions' },
    ];
    const bodies = await Promise.all(
      inputs.map(async (input) => (await server.inject(input)).body),
    );
    const withoutTime = bodies.map((body) =>
      body.replaceAll(/"created":\d+/g, '"created":0'),
    );
    expect(withoutTime).toMatchSnapshot();
  });

  it('reports the status of each outcome and whether the request ran', async () => {
    const ends: RequestEnd[] = [
      { type: 'refused', reason: 'limited', retryAfterMs: 1_500 },
      { type: 'refused', reason: 'leaving', retryAfterMs: undefined },
      { type: 'timedOut' },
      { type: 'failed', reason: 'engine out of memory' },
      { type: 'inDoubt' },
    ];
    const answers = await Promise.all(
      ends.map(async (end) => {
        const { server } = createTestServer(endWith(end));
        const reply = await server.inject(chat({ stream: true }));
        const { statusCode, headers } = reply;
        return [statusCode, headers['retry-after'], reply.json<object>()];
      }),
    );
    expect(answers).toMatchSnapshot();
  });

  it('describes a call to a plain service', async () => {
    const { server, events } = createTestServer(endWith({ type: 'inDoubt' }));
    await server.inject({
      method: 'POST',
      url: '/v1/services/ledger/pay/4?x=1',
      headers: {
        ...AUTH,
        'idempotency-key': 'k1',
        'endivegate-kind': 'payout',
      },
      payload: { amount: 5 },
    });
    await server.inject({ url: '/v1/services/ledger/rota', headers: AUTH });
    expect(events).toMatchSnapshot();
  });

  it('rejects a request above the limit of open requests', async () => {
    let ids = 0;
    const { server } = createTestServer(
      () => undefined,
      () => `r${String((ids += 1))}`,
    );
    server.inject(chat({}), ignoreReply);
    server.inject(chat({}), ignoreReply);
    await new Promise((resolve) => setImmediate(resolve));
    const reply = await server.inject(chat({}));
    expect([reply.statusCode, reply.json<object>()]).toMatchSnapshot();
  });

  it('times out a caller that never completes its request body', async () => {
    const { server, events } = createTestServer(answerTokens);
    await server.listen({ host: '127.0.0.1', port: 0 });
    const { port } = server.server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    socket.write(
      'POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\ncontent-length: 9\r\n\r\n{',
    );
    const [answer] = (await once(socket, 'data')) as [Buffer];
    expect(answer.toString()).to.match(/^HTTP\/1.1 408 /);
    expect(events).to.deep.equal([]);
    socket.destroy();
    await server.close();
  });

  it('serves models, entries, health, readiness and metrics', async () => {
    const { server } = createTestServer(answerTokens);
    const urls = ['/v1/models', '/v1/entries', '/healthz', '/readyz'];
    const answers = await Promise.all(
      urls.map(async (url) => {
        const reply = await server.inject({ url, headers: AUTH });
        return [url, reply.statusCode, reply.json<object>()];
      }),
    );
    expect(answers).toMatchSnapshot();
    const metrics = await server.inject({ url: '/metrics' });
    expect(metrics.body).to.contain('endivegate_open_requests 0');
  });
});
