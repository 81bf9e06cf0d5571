import { expect } from 'chai';
import { once } from 'node:events';
import type { RequestListener } from 'node:http';
import { connect, type Socket } from 'node:net';
import { settle } from '../testFleet/index.ts';
import {
  sign,
  startTestGateway,
  testConfig,
  type TestGateway,
} from '../testGateway/index.ts';

/** Ten thousand chunks of one byte. */
const CHUNKS = '1\r\nx\r\n'.repeat(10_000);

const POLL_INTERVAL_MS = 5;

/** Far above what the buffers of a connection hold. */
const LARGE_ANSWER_BYTES = 24_000_000;

const IDLE_PERIODS = 4;

describe('bodies that callers do not send as announced', () => {
  let entry: TestGateway;
  let caller: Socket;
  let received = '';
  /** Whether the target waits with its answers until they are released. */
  let isHeld = false;
  let held: (() => void)[] = [];
  let answerBytes = 1;

  const answer: RequestListener = (request, response) => {
    const release = (): void => {
      sign(request, response);
      response.end(Buffer.alloc(answerBytes, 'x'));
    };
    if (isHeld) held.push(release);
    else release();
  };

  beforeEach(async () => {
    entry = await startTestGateway({
      targets: [answer],
      route: { repeat: 'idempotent' },
    });
    caller = connect(entry.callerPort, '127.0.0.1');
    received = '';
    isHeld = false;
    held = [];
    answerBytes = 1;
    caller.on('data', (bytes: Buffer) => {
      received += bytes.toString();
    });
    caller.on('error', () => undefined);
  });

  afterEach(async () => {
    caller.destroy();
    await entry.stop();
  });

  /** Sends a request to a route, or to none if its path is not `/a`. */
  function send(headers: readonly string[], body = '', path = '/a'): void {
    const id = 'x-request: a1';
    const host = path === '/a' ? 'api.example' : 'unknown';
    const lines = [`POST ${path} HTTP/1.1`, `Host: ${host}`, id, ...headers];
    caller.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
  }

  function statuses(): readonly string[] {
    return received.match(/(?<=HTTP\/1\.1 )\d+/g) ?? [];
  }

  // Guards against requests that are kept beyond the time in which they can be answered.
  it('refuses a body that is not complete by the deadline, as not run', async () => {
    send(['Content-Length: 10', 'x-deadline-ms: 200'], 'abc');
    await once(caller, 'close');
    expect(statuses()).to.deep.equal(['408']);
    expect(entry.sends).to.deep.equal([]);
  });

  // Guards against a refusal that is lost, as the rest of the body makes the close a reset.
  it('delivers the refusal of a large body to a caller that sends on meanwhile', async () => {
    send(['Content-Length: 3000000'], 'x'.repeat(2_000_000));
    await once(caller, 'end');
    expect(statuses()).to.deep.equal(['413']);
  });

  // Guards against connections that are closed although the rest of a refused request is small.
  it('goes on with the connection of a refused request with a small body', async () => {
    send(['Content-Length: 3'], 'a', '/unknown');
    await once(caller, 'data');
    caller.write('bc');
    send(['Content-Length: 3'], 'abc');
    await once(caller, 'data');
    expect(statuses()).to.deep.equal(['404', '200']);
  });

  // Guards against refused requests that are read on without an end.
  it('closes the connection of a refused request whose body has no end', async () => {
    send(['Transfer-Encoding: chunked'], '', '/unknown');
    const writing = setInterval(() => caller.write(CHUNKS), 1);
    await once(caller, 'close');
    clearInterval(writing);
    expect(statuses()).to.deep.equal(['404']);
  });

  // Guards against an answer that is cut off by the refusal of the request behind it.
  it('closes it only after the answers to earlier requests', async () => {
    isHeld = true;
    send(['Content-Length: 3'], 'abc');
    send(['Content-Length: 3000000'], 'x'.repeat(2_000_000));
    while (entry.sends.length === 0) await settle(POLL_INTERVAL_MS);
    held.forEach((release) => {
      release();
    });
    await once(caller, 'end');
    expect(statuses()).to.deep.equal(['200', '413']);
  });

  // Guards against connections that stay open after their last response, as the caller keeps
  // its side open.
  it('closes the connection of a caller that sends no request and stays', async () => {
    const staying = connect({
      port: entry.callerPort,
      host: '127.0.0.1',
      allowHalfOpen: true,
    });
    staying.on('data', (bytes: Buffer) => {
      received += bytes.toString();
    });
    staying.on('error', () => undefined);
    staying.write('no request\r\n\r\n');
    await once(staying, 'end');
    const writing = setInterval(() => staying.write('x'), 50);
    await new Promise((resolve) => staying.once('close', resolve));
    clearInterval(writing);
    expect(statuses()).to.deep.equal(['400']);
  });

  // Guards against answers that are kept for ever for callers that read nothing.
  it('closes the connection of a caller that does not read its answer', async () => {
    const { limits, ...config } = testConfig({ repeat: 'idempotent' });
    const shortLimits = { ...limits, idleTimeoutMs: 200 };
    const version = Number(config.version) + 1;
    entry.gateway.runtime.applyConfig(
      { ...config, version, limits: shortLimits },
      'test',
    );
    answerBytes = LARGE_ANSWER_BYTES;
    caller.pause();
    send(['Content-Length: 0']);
    while (!entry.lines.some((line) => line.includes('"answered"'))) {
      await settle(POLL_INTERVAL_MS);
    }
    await settle(IDLE_PERIODS * shortLimits.idleTimeoutMs);
    caller.resume();
    await once(caller, 'close');
    expect(received.length).to.be.below(LARGE_ANSWER_BYTES);
  });
});
