import { expect } from 'chai';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import * as E from 'fp-ts/lib/Either.js';
import {
  type EndlessScript,
  startEndlessServer,
} from '../testEndlessServer/index.ts';
import { fetchJson, serveJson } from './index.ts';

const MIB = 1024 * 1024;

/** A peer may write the limit of a body, and what the kernel buffers. */
const MAX_WRITTEN_BYTES = 48 * MIB;

describe('exchangeJson', () => {
  let server: Server | undefined;

  afterEach(() => {
    server?.closeAllConnections();
    server?.close();
  });

  async function fetchFrom(
    source: Server,
    path = '/value',
  ): Promise<E.Either<string, number>> {
    server = source;
    await new Promise<void>((resolve) => {
      source.listen(0, '127.0.0.1', resolve);
    });
    const { port } = source.address() as AddressInfo;
    const decode = (value: unknown): E.Either<string, number> =>
      typeof value === 'number' ? E.right(value) : E.left('not a number');
    return new Promise((resolve) => {
      fetchJson(
        { address: `127.0.0.1:${port}`, path, timeoutMs: 1000 },
        decode,
        resolve,
      );
    });
  }

  it('fetches the current value of a peer', async () => {
    const result = await fetchFrom(serveJson('/value', () => 7));
    expect(result).to.deep.equal(E.right(7));
  });

  it('tells why there is no value', async () => {
    const none = await fetchFrom(serveJson('/value', () => undefined));
    expect(none).to.deep.equal(E.left('unexpected status 404'));
    server?.close();
    const other = await fetchFrom(
      serveJson('/value', () => 7),
      '/other',
    );
    expect(other).to.deep.equal(E.left('unexpected status 404'));
    server?.close();
    const invalid = await fetchFrom(serveJson('/value', () => 'seven'));
    expect(invalid).to.deep.equal(E.left('not a number'));
  });

  const endless: Readonly<Record<string, EndlessScript>> = {
    'informational responses': { repeated: 'HTTP/1.1 100 Continue\r\n\r\n' },
    'a header': { opening: 'HTTP/1.1 200 OK\r\nx-one:', repeated: ' ' },
    'a body': { opening: 'HTTP/1.1 200 OK\r\n\r\n', repeated: '[1],' },
    'a body in chunks': {
      opening: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
      repeated: `400\r\n${'7'.repeat(1024)}\r\n`,
    },
    'a chunk size': {
      opening: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
      repeated: '0',
    },
    'a body of an error': {
      opening: 'HTTP/1.1 500 Error\r\n\r\n',
      repeated: 'x',
    },
  };

  // Guards against a peer in trouble that fills the memory of an entry.
  Object.entries(endless).forEach(([what, script]) => {
    it(`gives up a peer that sends ${what} without end`, async () => {
      const peer = await startEndlessServer(script);
      const result = await new Promise<E.Either<string, unknown>>((resolve) => {
        fetchJson(
          { address: peer.address, path: '/value', timeoutMs: 10_000 },
          (value) => E.right(value),
          resolve,
        );
      });
      await peer.idle();
      peer.stop();
      expect(result).to.deep.equal(E.left('response too large'));
      expect(peer.hasGivenUp()).to.equal(false);
      expect(peer.writtenBytes()).to.be.below(MAX_WRITTEN_BYTES);
    });
  });

  // Guards against a limit that refuses the table of a large deployment.
  it('fetches a value of 8 MiB', async () => {
    const text = 'x'.repeat(8 * MIB);
    server = serveJson('/value', () => text);
    const source = server;
    await new Promise<void>((resolve) => {
      source.listen(0, '127.0.0.1', resolve);
    });
    const { port } = source.address() as AddressInfo;
    const result = await new Promise<E.Either<string, unknown>>((resolve) => {
      fetchJson(
        { address: `127.0.0.1:${port}`, path: '/value', timeoutMs: 10_000 },
        (value) => E.right(value),
        resolve,
      );
    });
    expect(E.isRight(result) && result.right === text).to.equal(true);
  });
});
