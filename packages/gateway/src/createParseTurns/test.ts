import { expect } from 'chai';
import { once } from 'node:events';
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
} from 'node:http';
import { type AddressInfo, connect, Socket } from 'node:net';
import { closeLingering } from '../discardRest/index.ts';
import { createParseTurns, type CreateParseTurnsOptions } from './index.ts';

const HEAD = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';

/** Bytes of a chunk of one byte as it is sent. */
const CHUNK = '1\r\nx\r\n';
const END = '0\r\n\r\n';

describe('createParseTurns', () => {
  let server: Server;
  let caller: Socket;

  afterEach(() => {
    caller.destroy();
    server.close();
  });

  async function start(
    options: CreateParseTurnsOptions,
    listener: RequestListener,
  ): Promise<void> {
    const turns = createParseTurns(options);
    server = createServer((request, response) => {
      turns.add(request.socket);
      listener(request, response);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
    caller.on('error', () => undefined);
  }

  /** Counts the bytes of the bodies of requests, until there are as many requests. */
  function countBytes(requests: number): Promise<readonly number[]> {
    const counts: number[] = [];
    return new Promise((resolve) => {
      server.on('request', (request: IncomingMessage, response) => {
        let bytes = 0;
        request.on('data', (chunk: Buffer) => (bytes += chunk.length));
        request.on('end', () => {
          response.end();
          counts.push(bytes);
          if (counts.length === requests) resolve(counts);
        });
      });
    });
  }

  // Guards against bytes that are lost or change places between slices.
  it('parses all bodies of a connection in full', async () => {
    await start({ sliceBytes: 100, turnMs: 0.001 }, () => undefined);
    const counts = countBytes(3);
    caller.write(`${HEAD}${CHUNK.repeat(9000)}${END}${HEAD}${END}`);
    caller.write(`${HEAD}${CHUNK.repeat(3000)}`);
    caller.write(`${CHUNK.repeat(2000)}${END}`);
    expect(await counts).to.deep.equal([9000, 0, 5000]);
  });

  // Guards against a connection that keeps the process from everything else.
  it('leaves the event loop between slices', async () => {
    let turns = 0;
    await start({ sliceBytes: 60, turnMs: 0.001 }, () => undefined);
    const counts = countBytes(1);
    let isCounting = true;
    const count = (): void => {
      turns += 1;
      if (isCounting) setImmediate(count);
    };
    caller.write(HEAD);
    await once(server, 'request');
    count();
    caller.write(`${CHUNK.repeat(3000)}${END}`);
    expect(await counts).to.deep.equal([3000]);
    isCounting = false;
    expect(turns).to.be.at.least(300);
  });

  // Guards against ordinary requests that wait for turns while the process is busy.
  it('parses what is smaller than a slice at once', async () => {
    await start({}, () => undefined);
    const turns = createParseTurns({ sliceBytes: 100, turnMs: 0.001 });
    const parsedBytes = [1000, 80, 80].map((size) => {
      let parsed = 0;
      const socket = new Socket();
      socket.on('data', (bytes: Buffer) => (parsed += bytes.length));
      turns.add(socket);
      socket.emit('data', Buffer.alloc(size));
      return parsed;
    });
    expect(parsedBytes).to.deep.equal([100, 80, 80]);
  });

  // Guards against bytes that are read faster than they are parsed.
  it('reads no further while bytes wait', async () => {
    let maxWaiting = 0;
    let parsedBytes = HEAD.length;
    await start({}, (request) => {
      request.on('data', () => {
        parsedBytes += CHUNK.length;
        const waiting = request.socket.bytesRead - parsedBytes;
        maxWaiting = Math.max(maxWaiting, waiting);
      });
    });
    const counts = countBytes(1);
    caller.write(`${HEAD}${CHUNK.repeat(300_000)}${END}`);
    expect(await counts).to.deep.equal([300_000]);
    expect(maxWaiting).to.be.at.most(256 * 1024);
  });

  // Guards against a refused body that is parsed to its end all the same.
  it('parses nothing more of a connection that is going to be closed', async () => {
    let bytes = 0;
    await start({ sliceBytes: 60, turnMs: 0.001 }, (request, response) => {
      request.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes !== 1000) return;
        closeLingering(request.socket);
        response.writeHead(413, { connection: 'close' }).end();
      });
    });
    caller.write(HEAD);
    await once(server, 'request');
    caller.write(CHUNK.repeat(9000));
    caller.resume();
    await once(caller, 'end');
    expect(bytes).to.be.at.most(1010);
  });
});
