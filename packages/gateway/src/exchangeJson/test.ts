import { expect } from 'chai';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import * as E from 'fp-ts/lib/Either.js';
import { fetchJson, serveJson } from './index.ts';

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
});
