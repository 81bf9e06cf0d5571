import { expect } from 'chai';
import type { RequestListener, ServerResponse } from 'node:http';
import { connect, type Socket } from 'node:net';
import type { ForwardingRoute } from '@endivegate/contracts/forwarding';
import { settle } from '../testFleet/index.ts';
import {
  sign,
  startTestGateway,
  testConfig,
  type TestGateway,
} from '../testGateway/index.ts';

const POLL_INTERVAL_MS = 5;

const FIRST_EVENT = 'id: 1\ndata: e1\n\n';

const HEADER_TIMEOUT_MS = 300;

const LARGE_BODY_BYTES = 8_000_000;

const request = (id: string): string =>
  `POST /${id} HTTP/1.1\r\nHost: api.example\r\nx-request: ${id}\r\nContent-Length: 0\r\n\r\n`;

const withoutId =
  'POST /x HTTP/1.1\r\nHost: api.example\r\nContent-Length: 0\r\n\r\n';

async function until(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await settle(POLL_INTERVAL_MS);
}

describe('requests behind an answer that closes their connection', () => {
  let entry: TestGateway;
  /** Responses of the target that it has not ended, in the order of its requests. */
  let open: ServerResponse[] = [];
  let caller: Socket;
  let received = '';
  let isClosed = false;

  const begin: RequestListener = (asked, response) => {
    sign(asked, response);
    response.write(FIRST_EVENT);
    open.push(response);
  };

  const answerSmall: RequestListener = (asked, response) => {
    sign(asked, response);
    response.end('small');
  };

  const answerLarge: RequestListener = (asked, response) => {
    sign(asked, response);
    response.end(Buffer.alloc(LARGE_BODY_BYTES, 'x'));
  };

  async function start(
    target: RequestListener,
    route: Partial<ForwardingRoute> = {},
  ): Promise<void> {
    open = [];
    received = '';
    isClosed = false;
    entry = await startTestGateway({
      targets: [target],
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

  function answers(): readonly string[] {
    return received.match(/HTTP\/1\.1 \d+/g) ?? [];
  }

  afterEach(async () => {
    caller.destroy();
    open.forEach((response) => response.destroy());
    await entry.stop();
  });

  // Guards against a request that is passed on, and whose connection closes after the answer before
  // it, which had announced the close already.
  it('passes nothing on that it reads after it has announced the close of the connection', async () => {
    await start(begin);
    entry.gateway.leave(() => undefined);
    caller.write(request('a1'));
    await until(() => received.includes(FIRST_EVENT));
    caller.write(request('a2'));
    await settle(100);
    const passedOn = entry.sends.length;
    open.forEach((response) => response.end());
    await until(() => isClosed || answers().length === 2);
    expect(passedOn).to.equal(answers().length);
  });

  // Guards against the same where the first answer is complete but its caller reads slowly.
  it('passes nothing on behind a last answer that its caller has not read', async () => {
    await start(answerLarge, { repeat: 'idempotent' });
    entry.gateway.leave(() => undefined);
    caller.pause();
    caller.write(request('a1'));
    await until(() => entry.lines.join('').includes('"end":"answered"'));
    caller.write(request('a2'));
    await settle(200);
    caller.resume();
    await until(() => isClosed || answers().length === 2);
    expect(entry.sends.length).to.equal(answers().length);
  });

  // Guards against a request that is passed on although the refusal before it closes the connection.
  it('passes nothing on behind a refusal that closes the connection', async () => {
    await start(answerSmall, { repeat: 'idempotent' });
    await entry.ask('/first');
    caller.write(withoutId + request('a2'));
    await until(() => isClosed || answers().length === 2);
    await settle(100);
    expect(entry.sends.length).to.equal(answers().length);
  });

  // Guards against an answer in progress that is cut off because the next request of its connection
  // comes slowly.
  it('goes on with an answer while the head of the next request is late', async () => {
    await start(begin);
    const config = testConfig({ timeoutMs: 20_000 });
    const limits = { ...config.limits, headerTimeoutMs: HEADER_TIMEOUT_MS };
    entry.gateway.runtime.applyConfig(
      { ...config, version: 2, limits },
      'test',
    );
    caller.write(request('a1'));
    await until(() => received.includes(FIRST_EVENT));
    caller.write(request('a2').slice(0, 20));
    await settle(4 * HEADER_TIMEOUT_MS);
    expect(isClosed).to.equal(false);
  });

  // Guards against an answer that is complete but cut off while its caller reads it, when the grace
  // period ends, although time is left until the exit.
  it('delivers an answer whole to a caller that reads it after the end of the grace period', async () => {
    await start(answerLarge, { repeat: 'idempotent' });
    caller.write(request('a1'));
    caller.pause();
    await until(() => entry.lines.join('').includes('"end":"answered"'));
    entry.gateway.leave(() => undefined);
    entry.skip(7550);
    await until(() => entry.lines.join('').includes('"event":"closing"'));
    // A busy machine has time to read before the exit.
    entry.skip(-5000);
    caller.resume();
    await until(() => isClosed);
    const bodyBytes = received.length - received.indexOf('\r\n\r\n') - 4;
    expect(bodyBytes).to.equal(LARGE_BODY_BYTES);
  });
});
