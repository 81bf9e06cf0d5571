import { expect } from 'chai';
import fastify, { type FastifyInstance } from 'fastify';
import { once } from 'node:events';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { countOpenAnswers } from './index.ts';

/** More than the buffers of a connection take. */
const LARGE_BYTES = 16 * 1024 * 1024;

describe('countOpenAnswers', () => {
  let server: FastifyInstance;
  let openAnswers: () => number;
  let caller: Socket;

  beforeEach(async () => {
    server = fastify();
    openAnswers = countOpenAnswers(server);
    server.get('/small', () => 'small');
    server.get('/held', () => new Promise(() => undefined));
    server.get('/large', () => 'x'.repeat(LARGE_BYTES));
    await server.listen({ host: '127.0.0.1', port: 0 });
    const { port } = server.server.address() as AddressInfo;
    caller = connect(port, '127.0.0.1');
  });

  afterEach(async () => {
    caller.destroy();
    await server.close();
  });

  function send(path: string): void {
    caller.write(`GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`);
  }

  async function untilCount(count: number): Promise<void> {
    while (openAnswers() !== count) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  }

  it('counts an answer until its caller has it, also on a connection that stays open', async () => {
    send('/small');
    await once(caller, 'data');
    await untilCount(0);
    expect(caller.destroyed).to.equal(false);
  });

  // Guards against an entry that ends while bytes of an answer wait for a slow caller.
  it('counts an answer that its caller does not read', async () => {
    caller.pause();
    send('/large');
    await untilCount(1);
    await new Promise((resolve) => setTimeout(resolve, 200));
    expect(openAnswers()).to.equal(1);
    caller.resume();
    await untilCount(0);
  });

  it('forgets an answer whose caller disconnects', async () => {
    caller.pause();
    send('/large');
    await untilCount(1);
    caller.destroy();
    await untilCount(0);
  });

  // Guards against an entry that waits until its drain timeout for callers that have disconnected.
  it('forgets all answers of a connection that is reset', async () => {
    send('/held');
    send('/held');
    await untilCount(2);
    caller.resetAndDestroy();
    await new Promise((resolve) => setTimeout(resolve, 500));
    expect(openAnswers()).to.equal(0);
  });
});
