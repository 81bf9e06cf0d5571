import { expect } from 'chai';
import { randomBytes } from 'node:crypto';
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { gzipSync } from 'node:zlib';
import * as E from 'fp-ts/lib/Either.js';
import {
  type EndlessScript,
  startEndlessServer,
} from '../testEndlessServer/index.ts';
import { cutHeads, startCuttingServer } from '../testCutHead/index.ts';
import {
  answerJson,
  type FetchError,
  type Fetched,
  fetchJson,
  type JsonSource,
  serveJson,
} from './index.ts';

const MIB = 1024 * 1024;

/** A peer may write the limit of a body, and what the kernel buffers. */
const MAX_WRITTEN_BYTES = 48 * MIB;

/** Fetches a value; a left is the reason why there is none. */
async function fetchValue<T>(
  source: JsonSource,
  decode: (value: unknown) => E.Either<string, T>,
): Promise<E.Either<string, T>> {
  const fetched = await new Promise<E.Either<FetchError, Fetched<T>>>(
    (resolve) => {
      fetchJson(source, decode, resolve);
    },
  );
  if (E.isRight(fetched)) return E.right(fetched.right.value);
  const { left: error } = fetched;
  return E.left(error.type === 'busy' ? 'busy' : error.reason);
}

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
    const address = `127.0.0.1:${port}`;
    return fetchValue({ address, path, timeoutMs: 1000 }, decode);
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
      const result = await fetchValue(
        { address: peer.address, path: '/value', timeoutMs: 10_000 },
        (value) => E.right(value),
      );
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
    const result = await fetchValue(
      { address: `127.0.0.1:${port}`, path: '/value', timeoutMs: 10_000 },
      (value) => E.right(value),
    );
    expect(E.isRight(result) && result.right === text).to.equal(true);
  });

  // Guards against a table that takes the link of a small entry for seconds, because it
  // is sent to many peers at once.
  it('compresses a value once for all peers', async () => {
    const value = Array.from({ length: 1600 }, (_, index) => ({
      prefix: `/route-${index}/`,
      shares: [{ service: 'chat', weight: 1 }],
    }));
    let encodings = 0;
    const counted = {
      toJSON: () => {
        encodings += 1;
        return value;
      },
    };
    server = serveJson('/value', () => counted);
    const address = await listenLocally(server);
    const fetched = await Promise.all(
      Array.from(
        { length: 5 },
        () =>
          new Promise<E.Either<FetchError, Fetched<unknown>>>((resolve) => {
            const source = { address, path: '/value', timeoutMs: 10_000 };
            fetchJson(source, E.right, resolve);
          }),
      ),
    );
    expect(encodings).to.equal(1);
    fetched.forEach((result) => {
      if (E.isLeft(result)) throw new Error(JSON.stringify(result.left));
      expect(result.right.value).to.deep.equal(value);
      expect(result.right.bytes * 8).to.be.below(JSON.stringify(value).length);
    });
  });

  it('takes no response that ends within its head', async () => {
    const peer = await startCuttingServer();
    const source = { address: peer.address, path: '/value', timeoutMs: 5000 };
    const ends = await cutHeads('').reduce<Promise<readonly boolean[]>>(
      async (before, { bytes, end }) => {
        const done = await before;
        peer.answerWith(bytes, end);
        return [...done, E.isLeft(await fetchValue(source, E.right))];
      },
      Promise.resolve([]),
    );
    peer.stop();
    expect(ends).not.to.include(false);
  });

  // Guards against a part of a value that is valid JSON by itself.
  it('takes no response without a length that is reset', async () => {
    const peer = await startCuttingServer();
    const source = { address: peer.address, path: '/value', timeoutMs: 5000 };
    peer.answerWith('HTTP/1.1 200 OK\r\n\r\n12', 'reset');
    const cut = await fetchValue(source, E.right);
    peer.answerWith('HTTP/1.1 200 OK\r\n\r\n12', 'fin');
    const whole = await fetchValue(source, E.right);
    peer.stop();
    expect(E.isLeft(cut)).to.equal(true);
    expect(whole).to.deep.equal(E.right(12));
  });

  it('serves builds that accept no compression', async () => {
    server = serveJson('/value', () => [7]);
    const response = await fetch(
      `http://${await listenLocally(server)}/value`,
      {
        headers: { 'accept-encoding': 'identity' },
      },
    );
    expect(response.headers.get('content-encoding')).to.equal(null);
    expect(await response.json()).to.deep.equal([7]);
  });

  it('gives up a peer whose value is too large once decompressed', async () => {
    const bytes = gzipSync(Buffer.alloc(64 * MIB, ' '));
    const result = await fetchFrom(
      createServer((_request, response) => {
        response.writeHead(200, { 'content-encoding': 'gzip' }).end(bytes);
      }),
    );
    expect(E.isLeft(result) && result.left).to.include('ERR_BUFFER_TOO_LARGE');
  });

  // Guards against many peers that share a slow link, so that none is served in time.
  it('refuses peers beyond the limit, and serves them later', async () => {
    const held: (() => void)[] = [];
    const answer = answerJson('/value', () => 7, { maxResponses: 1 });
    const peer = createServer((request, response) => {
      if (request.headers['x-held'] === undefined) answer(request, response);
      else {
        const end = response.end.bind(response);
        response.end = ((...args: Parameters<typeof end>) => {
          held.push(() => end(...args));
          return response;
        }) as typeof response.end;
        answer(request, response);
      }
    });
    const address = await listenLocally(peer);
    const open = fetch(`http://${address}/value`, {
      headers: { 'x-held': '1', 'accept-encoding': 'gzip' },
    });
    while (held.length === 0) await new Promise(setImmediate);
    const source = { address, path: '/value', timeoutMs: 1000 };
    expect(await fetchValue(source, E.right)).to.deep.equal(E.left('busy'));
    held.forEach((end) => {
      end();
    });
    expect(await (await open).json()).to.equal(7);
    expect(await fetchValue(source, E.right)).to.deep.equal(E.right(7));
    peer.close();
  });

  // Guards against frozen peers that keep a configuration from all others.
  it('breaks off a response that is not read, and serves others', async () => {
    const value = randomBytes(8 * MIB).toString('base64');
    const options = { maxResponses: 1, responseTimeoutMs: 50 };
    const peer = createServer(answerJson('/value', () => value, options));
    const address = await listenLocally(peer);
    const [, port] = address.split(':');
    const frozen = connect(Number(port), '127.0.0.1').pause();
    frozen.on('error', () => undefined);
    frozen.write(
      'GET /value HTTP/1.1\r\nhost: p\r\naccept-encoding: gzip\r\n\r\n',
    );
    await once(peer, 'request');
    const source = { address, path: '/value', timeoutMs: 10_000 };
    const ask = async (): Promise<E.Either<string, number>> =>
      fetchValue(source, (text) => E.right(String(text).length));
    let result = await ask();
    while (E.isLeft(result) && result.left === 'busy') {
      await new Promise(setImmediate);
      result = await ask();
    }
    frozen.destroy();
    peer.closeAllConnections();
    peer.close();
    expect(result).to.deep.equal(E.right(value.length));
  });
});

async function listenLocally(server: Server): Promise<string> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
