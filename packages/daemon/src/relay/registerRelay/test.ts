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
  /** Home entries and decision for the next requests. */
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
  server.post('/v1/completions', (incoming, reply) => {
    const eventData = `${entryId} ${JSON.stringify(incoming.body)}`;
    reply.hijack();
    reply.raw.writeHead(200, {
      'content-type': 'text/event-stream',
      'endivegate-ran': 'yes',
      'x-request-id': String(incoming.headers['x-request-id'] ?? incoming.id),
    });
    reply.raw.write(`data: ${eventData}\n\n`);
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

async function postPrompt(entry: TestEntry) {
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
  it('relays a request once, with its id, and returns the complete answer', () =>
    withEntries(async (a, b) => {
      a.homes = [b.address];
      // Entries that disagree about the home must not relay in a loop.
      b.homes = [a.address];
      expect(await postPrompt(a)).toMatchSnapshot();
    }));

  it('serves the request itself when no home entry can be reached', () =>
    withEntries(async (a, b) => {
      a.homes = [{ ...b.address, peerPort: 1 }];
      expect((await postPrompt(a)).body).to.contain('data: a ');
    }));

  it('refuses the request while leaving when no home entry can be reached', () =>
    withEntries(async (a, b) => {
      a.decision = { type: 'relay' };
      a.homes = [{ ...b.address, peerPort: 1 }];
      const answer = await postPrompt(a);
      expect([answer.status, answer.ran]).to.deep.equal([503, 'no']);
    }));

  it('refuses a request as not run when the entry accepts no new ones', () =>
    withEntries(async (a) => {
      a.decision = { type: 'refuse', reason: 'leaving', retryAfterMs: 0 };
      const answer = await postPrompt(a);
      expect([answer.status, answer.ran]).to.deep.equal([503, 'no']);
    }));
});
