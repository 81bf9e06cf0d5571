import type { Target } from '@endivegate/contracts';
import { expect } from 'chai';
import * as E from 'fp-ts/lib/Either.js';
import { createServer, type Server, type Socket } from 'node:net';
import {
  createEngineHttpPort,
  createPlatformHttpPort,
  createServiceHttpPort,
} from './index.ts';

const MIB = 1024 * 1024;

/** Bytes after which the test's server gives up, above each limit. */
const SERVER_LIMIT_BYTES = 96 * MIB;

/** Limit of a body, and what the kernel buffers. */
const MAX_WRITTEN_BYTES = 64 * MIB;

const OK = 'HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\n';
const CHUNKED = `${OK}transfer-encoding: chunked\r\n\r\n`;
const CHUNK = `400\r\n${'x'.repeat(1024)}\r\n`;

describe('adapters and bytes without end', () => {
  let server: Server;
  let url = '';
  let writtenBytes = 0;
  const sockets = new Set<Socket>();

  async function startWith(opening: string, repeated: string): Promise<void> {
    writtenBytes = 0;
    const block = Buffer.from(
      repeated.repeat(Math.ceil((64 * 1024) / repeated.length)),
    );
    server = createServer((socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        sockets.delete(socket);
      });
      const write = (): void => {
        if (socket.destroyed) return;
        writtenBytes += block.length;
        if (writtenBytes > SERVER_LIMIT_BYTES) socket.resetAndDestroy();
        else socket.write(block, () => setImmediate(write));
      };
      socket.once('data', () => {
        socket.resume();
        socket.write(opening);
        write();
      });
    });
    url = await listen(server);
  }

  afterEach(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });

  const target = () => ({ targetId: 't1', url }) as Target;

  const callService = async () => {
    const port = createServiceHttpPort();
    const result = await port.call(target(), {
      attemptId: 'a1',
      method: 'GET',
      path: '/',
      contentType: undefined,
      body: Buffer.alloc(0),
      idempotencyKey: undefined,
      timeoutMs: 10_000,
    })();
    await port.close();
    return result;
  };

  // Guards against a service in trouble that fills the memory of an entry.
  it('gives up an answer of a service', async () => {
    await startWith(CHUNKED, CHUNK);
    expect(await callService()).to.deep.equal(
      E.left({ type: 'cut', reason: 'RESPONSE_TOO_LARGE' }),
    );
    expect(writtenBytes).to.be.below(MAX_WRITTEN_BYTES);
  });

  // Guards against a refusal that is read to an end that never comes.
  it('reads no more than the start of a refusal', async () => {
    const refusal = CHUNKED.replace('200 OK', '503 Busy');
    await startWith(refusal.replace('\r\n', '\r\nx-ran: no\r\n'), CHUNK);
    const result = await callService();
    expect(E.isLeft(result) && result.left.type).to.equal('refused');
    expect(writtenBytes).to.be.below(MAX_WRITTEN_BYTES / 2);
  });

  it('gives up a list of the platform', async () => {
    await startWith(CHUNKED, CHUNK);
    const port = createPlatformHttpPort({ url, timeoutMs: 10_000 });
    const result = await port.get('key', { purpose: 'table' })();
    await port.close();
    expect(result).to.deep.equal(E.left({ type: 'replyLost' }));
    expect(writtenBytes).to.be.below(MAX_WRITTEN_BYTES);
  });

  it('gives up a report of an engine', async () => {
    await startWith(CHUNKED, CHUNK);
    const port = createEngineHttpPort({ callTimeoutMs: 10_000 });
    const result = await port.load(target())();
    await port.close();
    expect(result).to.deep.equal(
      E.left({ type: 'cut', reason: 'RESPONSE_TOO_LARGE' }),
    );
    expect(writtenBytes).to.be.below(MAX_WRITTEN_BYTES);
  });

  // Guards against a line of a stream that never ends, in chunks of a byte.
  ['1\r\nx\r\n', CHUNK].forEach((repeated) => {
    it(`gives up a stream with a line in chunks of ${repeated.length} bytes`, async () => {
      await startWith(CHUNKED, repeated);
      const port = createEngineHttpPort();
      const signal = new AbortController().signal;
      const stream = await port.resume(target(), 'a1', 0, signal)();
      const items: unknown[] = [];
      if (E.isRight(stream)) {
        for await (const item of stream.right) items.push(item);
      }
      await port.close();
      expect(items).to.deep.equal([
        { type: 'error', error: { type: 'cut', reason: 'RangeError' } },
      ]);
      expect(writtenBytes).to.be.below(MAX_WRITTEN_BYTES / 2);
    });
  });
});

describe('adapters and responses that end within their head', () => {
  const HEADERS = 'x-attempt-id: a1\r\ncontent-type: application/json\r\n';
  const INTERIM = 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n';
  const heads = ['', INTERIM].flatMap((interim) =>
    ['content-length: 0\r\n', ''].map(
      (length) => `${interim}HTTP/1.1 200 OK\r\n${HEADERS}${length}\r\n`,
    ),
  );
  /** Cut at every third byte and before the last one. */
  const cuts = heads.flatMap((head) =>
    [...Array(head.length).keys()]
      .filter((length) => length % 3 === 0 || length === head.length - 1)
      .map((length) => head.slice(0, length)),
  );
  const service = createServiceHttpPort();
  const engine = createEngineHttpPort();
  const target = (url: string) => ({ targetId: 't1', url }) as Target;
  const call = {
    ...{ attemptId: 'a1', method: 'GET', path: '/', timeoutMs: 5000 },
    ...{ contentType: undefined, idempotencyKey: undefined },
    body: Buffer.alloc(0),
  };
  const { signal } = new AbortController();
  const calls: Readonly<
    Record<string, (url: string) => Promise<E.Either<unknown, unknown>>>
  > = {
    'a call to a service': (url) => service.call(target(url), call)(),
    'a look-up of a key': (url) => service.lookUpKey(target(url), 'k', 5000)(),
    'a stream of an engine': (url) =>
      engine.resume(target(url), 'a1', 0, signal)(),
    'a query of an attempt': (url) =>
      engine.queryAttempt(target(url), 'a1', 5000)(),
    'a cancellation': (url) => engine.cancel(target(url), 'a1')(),
    'a list of the platform': async (url) => {
      const port = createPlatformHttpPort({ url, timeoutMs: 5000 });
      const result = await port.get('key', { purpose: 'table' })();
      await port.close();
      return result;
    },
  };

  after(async () => {
    await Promise.all([service.close(), engine.close()]);
  });

  // Guards against an empty answer that counts as whole when a target stops within the
  // head of its response.
  Object.entries(calls).forEach(([what, ask]) => {
    it(`take none for ${what}`, async () => {
      let bytes = '';
      const server = createServer((socket) => {
        socket.on('error', () => undefined);
        socket.once('data', () => socket.end(bytes));
      });
      const url = await listen(server);
      const ends = await cuts.reduce<Promise<readonly boolean[]>>(
        async (before, cut) => {
          const done = await before;
          bytes = cut;
          return [...done, E.isLeft(await ask(url))];
        },
        Promise.resolve([]),
      );
      server.close();
      expect(ends).not.to.include(false);
    });
  });

  const unnamed: Readonly<Record<string, (url: string) => Promise<unknown>>> = {
    'a look-up of a key': (url) => service.lookUpKey(target(url), 'k', 5000)(),
    'a query of an attempt': (url) =>
      engine.queryAttempt(target(url), 'a1', 5000)(),
    'a cancellation': (url) => engine.cancel(target(url), 'a1')(),
    'a release of memory': (url) => engine.freeReservation(target(url), 'r')(),
  };

  // Guards against a response to an earlier call that a target writes once more, and that
  // passes for the outcome of another key, attempt or reservation.
  Object.entries(unnamed).forEach(([what, ask]) => {
    it(`use a connection of its own for ${what}`, async () => {
      let connections = 0;
      const server = createServer((socket) => {
        connections += 1;
        socket.on('error', () => undefined);
        socket.on('data', () => {
          socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}');
        });
      });
      const url = await listen(server);
      await ask(url);
      // The agent keeps the connection from the next turn of the event loop on.
      await new Promise((resolve) => setTimeout(resolve, 20));
      await ask(url);
      server.close();
      expect(connections).to.equal(2);
    });
  });
});

async function listen(server: Server): Promise<string> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = server.address();
  if (address === null || typeof address === 'string') throw new Error();
  return `http://127.0.0.1:${address.port}`;
}
