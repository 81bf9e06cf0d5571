import type { EntryAddress } from '@endivegate/contracts';
import type { NewRequestDecision } from '@endivegate/core';
import { expect } from 'chai';
import fastify, { type FastifyInstance } from 'fastify';
import { request } from 'undici';
import { createPeerClient, startPeerServer } from '../../peers/index.ts';
import { serveLocally } from '../serveLocally/index.ts';
import { serveRelay } from '../serveRelay/index.ts';
import { registerRelay } from './index.ts';

interface TestEntry {
  readonly address: EntryAddress;
  readonly url: string;
  /** Homes and decision of the next requests. */
  homes: readonly EntryAddress[];
  decision: NewRequestDecision;
  readonly close: () => Promise<void>;
}

async function listen(server: FastifyInstance): Promise<string> {
  return server.listen({ host: '127.0.0.1', port: 0 });
}

async function startTestEntry(entryId: string): Promise<TestEntry> {
  const server = fastify({ genReqId: () => `${entryId}-1` });
  const client = createPeerClient({ self: { entryId, incarnation: 1 } });
  const holder: { entry: TestEntry | undefined } = { entry: undefined };
  registerRelay(server, {
    client,
    decide: () => holder.entry!.decision,
    homesFor: () => holder.entry!.homes,
    refuse: (reply, { reason }) =>
      reply.code(503).header('endivegate-ran', 'no').send({ reason }),
  });
  server.post('/v1/completions', (query, reply) => {
    const ids = `${entryId} ${JSON.stringify(query.body)}`;
    reply.hijack();
    reply.raw.writeHead(200, {
      'content-type': 'text/event-stream',
      'endivegate-ran': 'yes',
      'x-request-id': String(query.headers['x-request-id'] ?? query.id),
    });
    reply.raw.write(`data: ${ids}\n\n`);
    setImmediate(() => reply.raw.end('data: [DONE]\n\n'));
  });
  const url = await listen(server);
  const peers = await startPeerServer({
    host: '127.0.0.1',
    port: 0,
    handlers: { relay: serveRelay({ serve: serveLocally(url) }) },
  });
  const entry: TestEntry = {
    url,
    homes: [],
    decision: { type: 'serve' },
    address: {
      entryId,
      incarnation: 1,
      region: 'north',
      dataCentre: 'dc',
      host: '127.0.0.1',
      httpPort: Number(new URL(url).port),
      peerPort: peers.port,
    },
    close: async () => {
      client.close();
      await server.close();
      await peers.close(0);
    },
  };
  holder.entry = entry;
  return entry;
}

async function withEntries(
  use: (a: TestEntry, b: TestEntry) => Promise<void>,
): Promise<void> {
  const a = await startTestEntry('a');
  const b = await startTestEntry('b');
  try {
    await use(a, b);
  } finally {
    await a.close();
    await b.close();
  }
}

async function ask(entry: TestEntry) {
  const answer = await request(`${entry.url}/v1/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ prompt: 'p' }),
  });
  return {
    status: answer.statusCode,
    ran: answer.headers['endivegate-ran'],
    requestId: answer.headers['x-request-id'],
    body: await answer.body.text(),
  };
}

describe('registerRelay', () => {
  it('hands a request to its home once, with its id and whole answer', () =>
    withEntries(async (a, b) => {
      a.homes = [b.address];
      // Disagreement on homes must not send the request round.
      b.homes = [a.address];
      expect(await ask(a)).toMatchSnapshot();
    }));

  it('serves the request itself when no home can be reached', () =>
    withEntries(async (a, b) => {
      a.homes = [{ ...b.address, peerPort: 1 }];
      expect((await ask(a)).body).to.contain('data: a ');
    }));

  it('starts nothing itself while it leaves and no home can be reached', () =>
    withEntries(async (a, b) => {
      a.decision = { type: 'relay' };
      a.homes = [{ ...b.address, peerPort: 1 }];
      const answer = await ask(a);
      expect([answer.status, answer.ran]).to.deep.equal([503, 'no']);
    }));

  it('refuses as not run when the entry takes nothing new', () =>
    withEntries(async (a) => {
      a.decision = { type: 'refuse', reason: 'leaving', retryAfterMs: 0 };
      const answer = await ask(a);
      expect([answer.status, answer.ran]).to.deep.equal([503, 'no']);
    }));
});
