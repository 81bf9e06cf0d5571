import { expect } from 'chai';
import { once } from 'node:events';
import type { RequestListener } from 'node:http';
import { connect } from 'node:net';
import {
  sign,
  startTestGateway,
  type StartTestGatewayOptions,
  type TestGateway,
} from '../testGateway/index.ts';

/** Answers of a quiet time, enough for the entry to rely on. */
const QUICK_ANSWERS = 20;

/** How late a busy process handles a signal. */
const HANDLED_AFTER_MS = 500;

/** Later than any caller holds the address of an entry that shuts down. */
const SENT_AFTER_MS = 3100;

/** More than the time between two checks of an entry that shuts down. */
const STANDSTILL_MS = 120;

const EVENT = 'id: 1\ndata: e1\n\n';

const settle = (forMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, forMs);
  });

const withoutTimes = (line: Record<string, unknown>): unknown =>
  Object.fromEntries(
    Object.entries(line)
      .filter(([key]) => key !== 'time')
      .map(([key, value]) => [key, key.endsWith('Ms') ? typeof value : value]),
  );

describe('an entry that shuts down', () => {
  let gateway: TestGateway | undefined;
  let isSlow = false;

  /** Answers at once, or, while it is slow, begins an answer without ending it. */
  const target: RequestListener = (request, response) => {
    sign(request, response);
    if (request.url?.startsWith('/silent') === true) return;
    if (isSlow) response.write(EVENT);
    else response.end(EVENT);
  };

  async function start(
    options: Omit<StartTestGatewayOptions, 'targets'> = {},
  ): Promise<TestGateway> {
    isSlow = false;
    gateway = await startTestGateway({
      ...options,
      targets: [target],
      route: { timeoutMs: 20_000, ...options.route },
    });
    return gateway;
  }

  async function answerQuickly({ ask }: TestGateway): Promise<void> {
    const answers = Array.from({ length: QUICK_ANSWERS }, () => ask('/quick'));
    await Promise.all(answers);
  }

  /** Log lines of some events, without the values of times. */
  async function linesOf(
    events: readonly string[],
  ): Promise<readonly unknown[]> {
    await settle(60);
    return (gateway?.lines ?? [])
      .flatMap((text) => text.trim().split('\n'))
      .map((line) => JSON.parse(line) as Record<string, unknown>)
      .filter(({ event }) => events.includes(String(event)))
      .map(withoutTimes);
  }

  afterEach(async () => {
    await gateway?.stop();
  });

  // Requests that were taken on an estimate could not be told from others in the log.
  it('logs what each decision rests on, and what was open at the end', async () => {
    const entry = await start();
    await answerQuickly(entry);
    const left = new Promise<void>((resolve) => {
      entry.gateway.leave(resolve);
    });
    entry.skip(2000);
    isSlow = true;
    const cut = entry.ask('/late');
    const silent = entry.ask('/silent');
    await settle(100);
    entry.skip(6000);
    await Promise.all([cut, silent, left]);
    expect(
      await linesOf([
        'request.checkedForShutdown',
        'request.endedByShutdown',
        'closing',
        'left',
      ]),
    ).toMatchSnapshot();
  });

  // A stream was taken because earlier ones had been quick; its targets had become slow since, and
  // it was cut off at the end of the grace period.
  it('cuts off nothing that it reads once no caller holds its address, however slow targets become', async () => {
    const entry = await start();
    await answerQuickly(entry);
    entry.gateway.leave(() => undefined);
    entry.skip(4100);
    isSlow = true;
    const sent = entry.sends.length;
    const late = entry.ask('/late');
    await settle(100);
    entry.skip(4000);
    expect(await late).to.include({ status: 503, isWhole: true });
    expect(entry.sends).to.have.length(sent);
  });

  // The other side of it: what may run again gets a complete answer, also when the estimate was
  // wrong.
  it('takes late what may run again, and ends it whole when targets become slow', async () => {
    const entry = await start({ route: { repeat: 'idempotent' } });
    await answerQuickly(entry);
    entry.gateway.leave(() => undefined);
    entry.skip(4100);
    expect(await entry.ask('/quick')).to.include({ status: 200 });
    isSlow = true;
    const late = entry.ask('/late');
    await settle(100);
    entry.skip(4000);
    expect(await late).to.include({ status: 502, isWhole: true });
  });

  // A process that had stood still exited before it had read what had arrived, as timers run
  // before sockets are polled.
  it('answers requests that arrived while it stood still', async () => {
    const entry = await start();
    const caller = connect(entry.callerPort, '127.0.0.1');
    await once(caller, 'connect');
    await settle(20);
    await new Promise((resolve) => setImmediate(resolve));
    let received = '';
    caller.on('data', (chunk: Buffer) => (received += chunk.toString()));
    entry.gateway.leave(() => undefined);
    entry.skip(3600);
    caller.write(
      'GET /a HTTP/1.1\r\nHost: api.example\r\nx-request: a1\r\n\r\n',
    );
    const fromMs = performance.now();
    while (performance.now() - fromMs < STANDSTILL_MS);
    await once(caller, 'close');
    expect(received).to.match(/^HTTP\/1\.1 503/);
  });

  // A process without processor time handles the signal later than it was sent. Its requests are cut
  // off as above, and it counts the grace period from too late a time.
  it('counts the grace period from the signal, though it is handled late', async () => {
    const entry = await start({
      busyMs: () => performance.eventLoopUtilization().active,
    });
    await answerQuickly(entry);
    const handled = new Promise<void>((resolve) => {
      process.once('SIGTERM', () => {
        entry.gateway.leave(() => undefined);
        resolve();
      });
    });
    const signalledAtMs = performance.now();
    process.kill(process.pid, 'SIGTERM');
    while (performance.now() - signalledAtMs < HANDLED_AFTER_MS);
    await handled;
    entry.skip(SENT_AFTER_MS - (performance.now() - signalledAtMs));
    isSlow = true;
    const late = entry.ask('/late');
    await settle(100);
    entry.skip(8000);
    expect((await late).isWhole).to.equal(true);
  });
});
