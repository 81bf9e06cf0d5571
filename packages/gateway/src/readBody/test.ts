import { expect } from 'chai';
import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server } from 'node:http';
import { type AddressInfo, connect, type Socket } from 'node:net';
import { type ByteBudget, createByteBudget } from '@endivegate/core/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import { readBody, type ReadBodyOptions } from './index.ts';

const chunkOf = (text: string): string =>
  `${text.length.toString(16)}\r\n${text}\r\n`;

describe('readBody', () => {
  let server: Server;
  let budget: ByteBudget;
  let sockets: Socket[] = [];

  beforeEach(async () => {
    budget = createByteBudget({ maxBytes: 60_000, maxSmallBytes: 17_000 });
    sockets = [];
    server = createServer();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });

  /** Sends a head and the first bytes of a body; returns the request as received. */
  async function send(bytes: string): Promise<IncomingMessage> {
    const { port } = server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    sockets.push(socket);
    socket.write(
      `POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${bytes}`,
    );
    const [request] = (await once(server, 'request')) as [IncomingMessage];
    return request;
  }

  /** Returns the text of the body, or why there is none. */
  function read(
    request: IncomingMessage,
    options: Partial<ReadBodyOptions> = {},
  ): Promise<string> {
    return new Promise((resolve) => {
      const limits = { maxBytes: 10_000, timeoutMs: 60_000 };
      const all = { ...limits, idleTimeoutMs: 60_000, budget, owner: 'w1' };
      readBody(request, { ...all, ...options }, (body) => {
        resolve(E.isLeft(body) ? body.left : body.right.bytes.toString());
      });
    });
  }

  it('returns a body in small chunks', async () => {
    const request = await send(`${chunkOf('a')}${chunkOf('bc')}0\r\n\r\n`);
    expect(await read(request)).to.equal('abc');
    expect(budget.usedBytes()).to.be.within(3, 17_000);
  });

  it('gives up a body over its limit', async () => {
    const request = await send(chunkOf('x'.repeat(101)));
    expect(await read(request, { maxBytes: 100 })).to.equal('tooLarge');
    expect(budget.usedBytes()).to.equal(0);
  });

  // Guards against bodies that stop short of their end and are kept for ever.
  it('gives up a body that stops short of its end', async () => {
    const request = await send(chunkOf('abc'));
    expect(await read(request, { idleTimeoutMs: 20 })).to.equal('tooSlow');
    expect(budget.usedBytes()).to.equal(0);
  });

  // Guards against senders of a byte now and then, for whom no pause is too long.
  it('gives up a body that trickles beyond its time', async () => {
    const request = await send(chunkOf('abc'));
    const trickle = setInterval(() => sockets[0]?.write(chunkOf('d')), 5);
    expect(await read(request, { timeoutMs: 100 })).to.equal('tooSlow');
    clearInterval(trickle);
  });

  // Guards against bodies that together take more memory than there is.
  it('gives up the newest body when there is no room left', async () => {
    const first = read(await send(chunkOf('a'.repeat(8000))));
    const second = read(await send(chunkOf('b'.repeat(8000))));
    expect(await second).to.equal('noRoom');
    sockets[0]?.write('0\r\n\r\n');
    expect(await first).to.equal('a'.repeat(8000));
  });

  // Guards against requests without a body that together take more memory than there is.
  it('gives up a request when there is no room for it', async () => {
    const requests = await Promise.all([
      send(''),
      send(''),
      send(''),
      send(''),
    ]);
    const results = requests.map((request) => read(request));
    expect(await results.at(-1)).to.equal('noRoom');
  });

  // Guards against memory that stays set aside for callers that have gone.
  it('holds nothing for a caller that disconnects', async () => {
    const request = await send(chunkOf('abc'));
    void read(request);
    sockets[0]?.destroy();
    await new Promise((resolve) => request.once('close', resolve));
    expect(budget.usedBytes()).to.equal(0);
  });
});
