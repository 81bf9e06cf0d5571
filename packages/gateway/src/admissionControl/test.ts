import { expect } from 'chai';
import type { EngineCost } from '@endivegate/contracts/forwarding';
import type { RequestListener, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import {
  sign,
  type StartTestGatewayOptions,
  startTestGateway,
  type TestAnswer,
  type TestGateway,
} from '../testGateway/index.ts';

const engine: EngineCost = {
  slots: 4,
  memoryTokens: 100_000,
  stepsPerPass: 10,
  stepMs: 1,
  stepMsPerWriter: 0,
  stepMsPerContextK: 0,
  readTokensPerMs: 400,
  readMsPerMillionPairs: 0,
  helperStepMs: 0,
};

const route = { timeoutMs: 15_000, targetLatencyMs: 6000, gapTargetMs: 4000 };

const EVENT = 'id: 1\ndata: e\n\n';

/** Takes more than half of a target's memory, and over 160 ms of prefill is a long
 * prompt. */
const LONG = { 'x-prompt-tokens': '80000' };
const LONGER = { 'x-prompt-tokens': '85000' };

const settle = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

describe('admissionControl', () => {
  let fleet: TestGateway;
  let open: ServerResponse[];

  /** Begins a stream and leaves it open until the test ends it. */
  const hold: RequestListener = (request, response) => {
    sign(request, response);
    response.write(EVENT);
    open.push(response);
  };

  beforeEach(() => {
    open = [];
  });

  afterEach(() => fleet.stop());

  const begin = async (
    options: Partial<StartTestGatewayOptions> = {},
  ): Promise<void> => {
    fleet = await startTestGateway({
      targets: [hold],
      route,
      engine,
      queuesRequests: true,
      ...options,
    });
  };

  const until = async (isDone: () => boolean): Promise<void> => {
    while (!isDone()) await settle(5);
  };

  const hasLogged = (event: string): boolean =>
    fleet.lines.some((line) => line.includes(`"${event}"`));

  /** Asks twice; the second prompt has no memory until the first ends. */
  const askTwo = async (): Promise<readonly Promise<TestAnswer>[]> => {
    const first = fleet.ask('/1', { ...LONG, 'x-request': 'a1' });
    await until(() => open.length === 1);
    const second = fleet.ask('/2', { ...LONGER, 'x-request': 'a2' });
    return [first, second];
  };

  // Today's behaviour: the prompt is sent to an engine that has no memory for it.
  it('sends a prompt without memory where the queue is off', async () => {
    await begin({ queuesRequests: false });
    const answers = await askTwo();
    await until(() => open.length === 2);
    open.forEach((response) => response.end());
    expect((await Promise.all(answers)).map(({ status }) => status)).to.eql([
      200, 200,
    ]);
  });

  it('lets a prompt without memory wait until a request ends', async () => {
    await begin();
    const answers = await askTwo();
    await until(() => hasLogged('request.queued'));
    expect(fleet.sends).to.have.length(1);
    open[0]?.end();
    await until(() => open.length === 2);
    open[1]?.end();
    expect((await Promise.all(answers)).map(({ status }) => status)).to.eql([
      200, 200,
    ]);
    await until(() => hasLogged('request.dequeued'));
  });

  it('takes a request whose caller leaves out of the queue', async () => {
    await begin();
    void fleet.ask('/1', LONG);
    await until(() => open.length === 1);
    const caller = connect(fleet.callerPort, '127.0.0.1');
    caller.write(
      'GET /2 HTTP/1.1\r\nHost: api.example\r\nx-request: a2\r\n' +
        'x-prompt-tokens: 80000\r\n\r\n',
    );
    await until(() => hasLogged('request.queued'));
    caller.destroy();
    await until(() =>
      fleet.lines.some((line) => line.includes('"end":"left"')),
    );
    open[0]?.end();
    await settle(100);
    expect(fleet.sends).to.have.length(1);
  });

  it('refuses a request at once whose capacity comes after its deadline', async () => {
    await begin();
    void fleet.ask('/1', LONG);
    await until(() => open.length === 1);
    const answer = await fleet.ask('/2', {
      ...LONGER,
      'x-request': 'a2',
      'x-deadline-ms': '600',
    });
    expect(answer.status).to.equal(503);
    expect(answer.body).to.include('tooLate');
    expect(fleet.sends).to.have.length(1);
    expect(hasLogged('request.queued')).to.equal(false);
  });

  // Its first event would be on time; its caller would not be there any more.
  it('refuses a short prompt at once whose caller leaves before capacity comes', async () => {
    await begin();
    void fleet.ask('/1', LONG);
    await until(() => open.length === 1);
    const answer = await fleet.ask('/2', {
      'x-prompt-tokens': '40000',
      'x-request': 'a2',
      'x-deadline-ms': '600',
    });
    expect(answer.status).to.equal(503);
    expect(answer.body).to.include('tooLate');
  });

  it('refuses what waits when the entry stops', async () => {
    await begin();
    const [, second] = await askTwo();
    await until(() => hasLogged('request.queued'));
    fleet.gateway.stop();
    const answer = await second;
    expect(answer).to.deep.include({ status: 503, isWhole: true });
    expect(answer?.body).to.include('stopping');
  });

  it('serves a short prompt while a long one waits', async () => {
    await begin();
    const answers = await askTwo();
    await until(() => hasLogged('request.queued'));
    const short = fleet.ask('/3', {
      'x-prompt-tokens': '1000',
      'x-request': 'a3',
    });
    await until(() => open.length === 2);
    open[1]?.end();
    expect((await short).status).to.equal(200);
    open[0]?.end();
    await until(() => open.length === 3);
    open[2]?.end();
    await Promise.all(answers);
  });

  it('refuses a short prompt at once that no slot is predicted for in time', async () => {
    await begin({ route: { ...route, targetLatencyMs: 8 } });
    const prompt = { 'x-prompt-tokens': '1000' };
    const fill = Array.from({ length: 4 }, (_, index) =>
      fleet.ask('/1', { ...prompt, 'x-request': `f${index}` }),
    );
    await until(() => open.length === 4);
    const late = await fleet.ask('/2', {
      ...prompt,
      'x-request': 'a2',
    });
    expect(late.body).to.include('tooLate');
    expect(fleet.sends).to.have.length(4);
    open.forEach((response) => response.end());
    await Promise.all(fill);
  });

  it('lets what waits start after a planned stop has begun, within its grace period', async () => {
    await begin();
    const [, second] = await askTwo();
    await until(() => hasLogged('request.queued'));
    fleet.gateway.leave(() => undefined);
    open[0]?.end();
    await until(() => open.length === 2);
    open[1]?.end();
    expect(await second).to.deep.include({ status: 200, isWhole: true });
  });

  // A 503 says that the request has not run; this one has.
  // A request went on waiting for capacity in an entry that shuts down, though it could no longer
  // end in time.
  it('refuses what waits as soon as it may not end before the entry does', async () => {
    await begin();
    const quick = Array.from({ length: 30 }, () => 0);
    for (const tookMs of [4000, ...quick]) {
      const known = fleet.ask('/0', LONGER);
      await until(() => open.length === 1);
      fleet.skip(tookMs);
      open.pop()?.end();
      await known;
    }
    const first = fleet.ask('/1', { ...LONG, 'x-request': 'a1' });
    await until(() => open.length === 1);
    fleet.gateway.leave(() => undefined);
    fleet.skip(1000);
    const second = fleet.ask('/2', { ...LONGER, 'x-request': 'a2' });
    await until(() => hasLogged('request.queued'));
    fleet.skip(1600);
    const { status, body } = await second;
    expect(status).to.equal(503);
    expect(body).to.include('the entry is shutting down');
    open[0]?.end();
    await first;
    expect(open).to.have.length(1);
  });

  it('cuts a stream off that has begun and finds no capacity to go on', async () => {
    const breakLater: RequestListener = (request, response) => {
      hold(request, response);
      if (request.url !== '/2') return;
      setTimeout(() => request.socket.resetAndDestroy(), 50);
    };
    await begin({ targets: [breakLater, breakLater] });
    void fleet.ask('/1', LONG);
    await until(() => open.length === 1);
    const answer = await fleet.ask('/2', {
      ...LONGER,
      'x-request': 'a2',
      'x-deadline-ms': '1500',
    });
    expect(answer).to.deep.equal({ status: 200, body: EVENT, isWhole: false });
    expect(fleet.sends).to.have.length(2);
  });

  it('counts waiting requests and refusals by reason', async () => {
    await begin();
    const [, second] = await askTwo();
    await until(() => hasLogged('request.queued'));
    const before = await fleet.metricsText();
    expect(before).to.include('endivegate_queued_requests 1');
    fleet.gateway.stop();
    await second;
    const after = await fleet.metricsText();
    expect(after).to.include('endivegate_queued_requests 0');
    expect(after).to.include(
      'endivegate_queue_refusals_total{reason="stopping"} 1',
    );
    expect(after).to.include('endivegate_queue_wait_ms_count{end="refused"} 1');
  });

  it('sends to another target with memory instead of waiting', async () => {
    await begin({ targets: [hold, hold] });
    const answers = await askTwo();
    await until(() => open.length === 2);
    expect(hasLogged('request.queued')).to.equal(false);
    open.forEach((response) => response.end());
    await Promise.all(answers);
  });
});
