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
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = server.address();
    if (address === null || typeof address === 'string') throw new Error();
    url = `http://127.0.0.1:${address.port}`;
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
