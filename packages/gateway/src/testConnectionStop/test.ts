import { expect } from 'chai';
import type { RequestListener, ServerResponse } from 'node:http';
import { connect, type Socket } from 'node:net';
import type { ForwardingRoute } from '@endivegate/contracts/forwarding';
import { settle } from '../testFleet/index.ts';
import {
  sign,
  startTestGateway,
  type TestGateway,
} from '../testGateway/index.ts';

const POLL_INTERVAL_MS = 5;

/** From then on, an entry that shuts down exits as soon as no request is open. */
const IDLE_MS = 3500;

/** Longer than the interval at which it checks whether one is. */
const CHECKED_WITHIN_MS = 150;

/** More than the buffers of a connection hold. */
const LARGE_BODY = Buffer.alloc(8_000_000, 'x');

const head = (id: string, ...fields: readonly string[]): string =>
  [
    `POST /${id} HTTP/1.1`,
    'Host: api.example',
    `x-request: ${id}`,
    ...fields,
    '\r\n',
  ].join('\r\n');

const request = (id: string): string => head(id, 'Content-Length: 0');

async function until(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await settle(POLL_INTERVAL_MS);
}

describe('connections of an entry that shuts down', () => {
  let entry: TestGateway;
  /** Responses of the target that it has not ended, in the order of its requests. */
  let open: ServerResponse[] = [];
  let caller: Socket;
  let received = '';
  let isClosed = false;
  let shutdown = { hasEnded: false };

  const hold: RequestListener = (asked, response) => {
    sign(asked, response);
    open.push(response);
  };

  async function start(route: Partial<ForwardingRoute>): Promise<void> {
    open = [];
    received = '';
    isClosed = false;
    shutdown = { hasEnded: false };
    entry = await startTestGateway({
      targets: [hold],
      route: { timeoutMs: 20_000, ...route },
    });
    caller = connect(entry.callerPort, '127.0.0.1');
    caller.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1');
    });
    caller.on('error', () => undefined);
    caller.on('close', () => {
      isClosed = true;
    });
  }

  function leave(): void {
    const ending = shutdown;
    entry.gateway.leave(() => {
      ending.hasEnded = true;
    });
  }

  function answers(): readonly string[] {
    return received.match(/HTTP\/1\.1 \d+/g) ?? [];
  }

  afterEach(async () => {
    caller.destroy();
    open.forEach((response) => response.destroy());
    await entry.stop();
  });

  // The second of two requests that were sent at once had reached a target, and its connection
  // was closed after the answer to the first one.
  it('answers all requests that it has read from a connection', async () => {
    await start({ repeat: 'atMostOnce' });
    caller.write(request('a1') + request('a2'));
    await until(() => open.length === 2);
    leave();
    open.forEach((response) => response.end('read'));
    await until(() => isClosed || answers().length === 2);
    expect(answers()).to.deep.equal(['HTTP/1.1 200', 'HTTP/1.1 200']);
    await until(() => isClosed);
  });

  // A request that came behind an answer that announces the close of its connection reached a
  // target, and got no answer.
  it('sends no request behind an answer that closes the connection', async () => {
    await start({ repeat: 'stream', resumable: false });
    leave();
    caller.write(request('a1'));
    await until(() => open.length === 1);
    open[0]?.write('id: 1\ndata: e1\n\n');
    await until(() => received.includes('data: e1'));
    caller.write(request('a2'));
    await settle(50);
    open[0]?.end('id: 2\ndata: e2\n\n');
    await until(() => isClosed);
    expect(received).to.include('data: e2');
    expect(entry.sends).to.have.length(1);
  });

  // Guards against work for a caller that has disconnected, and against an exit that waits for it.
  it('ends all requests of a connection that is reset', async () => {
    await start({ repeat: 'atMostOnce' });
    caller.write(request('a1') + request('a2'));
    await until(() => open.length === 2);
    leave();
    caller.resetAndDestroy();
    await until(() => open.every((response) => response.destroyed));
    entry.skip(IDLE_MS);
    await until(() => shutdown.hasEnded);
    await until(() => entry.lines.join('').includes('"event":"left"'));
    expect(entry.lines.join('')).to.include('"reason":"drained"');
  });

  // Guards against an exit while a request is being received.
  it('answers a request whose body arrives after the time for an early exit', async () => {
    await start({ repeat: 'atMostOnce' });
    leave();
    const fields = ['Transfer-Encoding: chunked', 'Expect: 100-continue'];
    caller.write(head('a1', ...fields));
    await until(() => received.includes('100 Continue'));
    caller.write('2\r\nab\r\n');
    entry.skip(IDLE_MS);
    await settle(CHECKED_WITHIN_MS);
    expect(shutdown.hasEnded).to.equal(false);
    caller.write('0\r\n\r\n');
    await until(() => isClosed);
    expect(answers()).to.deep.equal(['HTTP/1.1 100', 'HTTP/1.1 503']);
    await until(() => shutdown.hasEnded);
  });

  // Guards against an exit with bytes that a slow caller has not read.
  it('delivers an answer whole to a caller that reads it after the time for an early exit', async () => {
    await start({ repeat: 'idempotent' });
    leave();
    caller.write(request('a1'));
    await until(() => open.length === 1);
    caller.pause();
    open[0]?.end(LARGE_BODY);
    await settle(CHECKED_WITHIN_MS);
    entry.skip(IDLE_MS);
    await settle(CHECKED_WITHIN_MS);
    caller.resume();
    await until(() => isClosed);
    const bodyBytes = received.length - received.indexOf('\r\n\r\n') - 4;
    expect(bodyBytes).to.equal(LARGE_BODY.length);
    await until(() => shutdown.hasEnded);
  });
});
