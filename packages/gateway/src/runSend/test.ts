import { expect } from 'chai';
import * as E from 'fp-ts/lib/Either.js';
import type { RequestListener, ServerResponse } from 'node:http';
import { createConnectionPool } from '../createConnectionPool/index.ts';
import { createEventLog } from '../createEventLog/index.ts';
import { createGatewayMetrics } from '../createGatewayMetrics/index.ts';
import { createGatewayRuntime } from '../gatewayRuntime/index.ts';
import type { SendPlan } from '../planSend/index.ts';
import { testDialect } from '../testDialect/index.ts';
import {
  sign,
  startTestGateway,
  testConfig,
  type TestGateway,
} from '../testGateway/index.ts';
import { runSend } from './index.ts';

const event = (id: number): string => `id: ${id}\ndata: e${id}\n\n`;

/** Longer than the silence after which a stream is sent to another target. */
const STREAM_SILENCE_MS = 1000;

const wholeStream = { status: 200, body: event(1) + event(2), isWhole: true };

const settle = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const refuse: RequestListener = (_request, response) => {
  response.writeHead(503, { 'x-not-run': '1' }).end();
};

/** Keeps the event loop from reading what arrives. */
function holdUp(ms: number): void {
  const untilMs = performance.now() + ms;
  while (performance.now() < untilMs);
}

/** Falls silent after the first event, and goes on after this time. */
const silentFor =
  (silenceMs: number): RequestListener =>
  (request, response) => {
    sign(request, response);
    response.write(event(1));
    setTimeout(() => response.end(event(2)), silenceMs);
  };

describe('a takeover from a silent target', () => {
  let fleet: TestGateway;

  afterEach(() => fleet.stop());

  it('forwards an event once when both targets go on in the same tick', async () => {
    let silent: ServerResponse | undefined;
    const beginOnly: RequestListener = (request, response) => {
      sign(request, response);
      response.write(event(1));
      silent = response;
    };
    const goOnTogether: RequestListener = (request, response) => {
      sign(request, response);
      silent?.end(event(2));
      response.end(event(2));
    };
    fleet = await startTestGateway({ targets: [beginOnly, goOnTogether] });
    expect(await fleet.ask('/1')).to.deep.equal(wholeStream);
    expect(fleet.sends).to.have.length(2);
  });

  it('keeps the first of two silent targets when a third one refuses', async () => {
    const later = [silentFor(4000), refuse];
    const other: RequestListener = (request, response) => {
      (later.shift() ?? refuse)(request, response);
    };
    fleet = await startTestGateway({
      targets: [silentFor(4000), other, other],
      route: { maxAttempts: 3 },
    });
    expect(await fleet.ask('/1')).to.deep.equal(wholeStream);
    const targets = fleet.sends.map(({ target }) => target);
    expect(targets[0]).to.equal('t0');
    expect(targets.toSorted()).to.deep.equal(['t0', 't1', 't2']);
  });

  it('closes every send at the deadline', async () => {
    let open = 0;
    const silentForGood: RequestListener = (request, response) => {
      open += 1;
      sign(request, response);
      if (open === 1) response.write(event(1));
      request.socket.on('close', () => {
        open -= 1;
      });
    };
    fleet = await startTestGateway({
      targets: [silentForGood, silentForGood],
      route: { timeoutMs: 2 * STREAM_SILENCE_MS },
    });
    const answer = await fleet.ask('/1');
    expect(answer).to.deep.equal({
      status: 200,
      body: event(1),
      isWhole: false,
    });
    expect(fleet.sends).to.have.length(2);
    while (open > 0) await settle(5);
  });

  it('finishes before the entry leaves', async () => {
    fleet = await startTestGateway({
      targets: [silentFor(4500), refuse],
    });
    const answer = fleet.ask('/1');
    await settle(300);
    const left = new Promise<void>((resolve) => {
      fleet.gateway.leave(resolve);
    });
    expect(await answer).to.deep.equal(wholeStream);
    await left;
  });

  // The answer of the other target was dropped, and the caller got a 502.
  it('delivers the error of the other target when the silent one breaks off', async () => {
    const breakOffLater: RequestListener = (request) => {
      setTimeout(() => request.socket.resetAndDestroy(), STREAM_SILENCE_MS);
    };
    const fail: RequestListener = (request, response) => {
      sign(request, response);
      response.writeHead(500).end('failed');
    };
    fleet = await startTestGateway({
      targets: [breakOffLater, fail],
      route: { repeat: 'idempotent', timeoutMs: 2000 },
    });
    expect(await fleet.ask('/1')).to.deep.equal({
      status: 500,
      body: 'failed',
      isWhole: true,
    });
  });

  // What arrived while the entry itself was held up was taken for a silence.
  it('does not take its own pause for a silence of the target', async () => {
    const firstAnswers = [refuse];
    const pauseEntry: RequestListener = (request, response) => {
      sign(request, response);
      response.write(event(1));
      setTimeout(() => {
        response.write(event(2));
        process.nextTick(() => {
          holdUp(STREAM_SILENCE_MS);
          setTimeout(() => response.end(event(3)), 0);
        });
      }, 50);
    };
    const answerWhole: RequestListener = (request, response) => {
      sign(request, response);
      response.end(event(1));
    };
    fleet = await startTestGateway({
      targets: [
        (request, response) => {
          (firstAnswers.pop() ?? pauseEntry)(request, response);
        },
        answerWhole,
      ],
    });
    // Leaves an idle connection to the other target.
    await fleet.ask('/1');
    await settle(50);
    expect(await fleet.ask('/1')).to.deep.equal({
      status: 200,
      body: event(1) + event(2) + event(3),
      isWhole: true,
    });
    expect(fleet.sends.slice(2)).to.deep.equal([
      { target: 't0', lastEventId: undefined },
    ]);
  });

  // A target to which the connection was open was avoided as broken.
  it('does not take its own pause for a failed connection attempt', async () => {
    const answer: RequestListener = (request, response) => {
      sign(request, response);
      response.end(event(1) + event(2));
    };
    fleet = await startTestGateway({ targets: [answer, answer] });
    fleet.gateway.runtime.onSendStarted(() => {
      setImmediate(holdUp, STREAM_SILENCE_MS);
    });
    expect(await fleet.ask('/1')).to.deep.equal(wholeStream);
    expect(fleet.sends).to.deep.equal([
      { target: 't0', lastEventId: undefined },
    ]);
  });
});

describe('runSend', () => {
  it('releases the memory of a send that is superseded before or after it was reserved', async () => {
    const orders: string[] = [];
    const order =
      (name: string) =>
      ({ id }: { readonly id: string }) =>
      () => {
        orders.push(`${name} ${id}`);
        return Promise.resolve(E.right(undefined));
      };
    const log = createEventLog({
      entryId: 'e1',
      write: (_text, done) => {
        done();
      },
    });
    const runtime = createGatewayRuntime(log);
    const pool = createConnectionPool();
    const [route] = testConfig().routes;
    const [service] = testConfig().services;
    if (route === undefined || service === undefined) throw new Error('config');
    const target = { id: 't0', address: '127.0.0.1:9' };
    const helper = { id: 't1', address: '127.0.0.1:9' };
    const start = (number: number) =>
      runSend(
        {
          call: {
            attemptId: 'a1',
            route,
            service,
            workspace: undefined,
            priority: 1,
            method: 'GET',
            path: '/1',
            rawHeaders: [],
            caller: testDialect.readCaller({}),
            body: Buffer.alloc(0),
            arrivedAtMs: 0,
            isRelayed: false,
          },
          plan: {
            target,
            helpers: [helper],
            reservations: [{ target: helper, tokens: 10 }],
            partPrefillMs: 0,
            slotWaitMs: 0,
          } as unknown as SendPlan,
          number,
          attemptsLeft: 2,
          deadlineAtMs: 1000,
          patienceMs: 1000,
          resumeAfterId: '1',
        },
        {
          onSent: () => undefined,
          onEvents: () => true,
          onSilence: () => undefined,
          onEnd: () => undefined,
          onError: () => undefined,
        },
        {
          entryName: 'e1',
          targetDeaths: {
            sendBroke: () => undefined,
            crashReported: () => undefined,
          },
          runtime,
          pool,
          peerPool: pool,
          targetLoss: { watch: () => () => undefined },
          reachProbe: {
            noteReceived: () => undefined,
            onCutOff: () => () => undefined,
          },
          orders: {
            reserve: order('reserve'),
            release: order('release'),
            isInUse: () => () => Promise.resolve(E.right(true)),
          },
          dialect: testDialect,
          log,
          metrics: createGatewayMetrics(),
          bounds: {
            retry: { ratio: 0.2, windowMs: 10_000, slack: 1 },
            graceMs: 1000,
          },
          dataCentre: 'a',
          startedAtMs: 0,
          now: () => 0,
        },
      );
    start(1).supersede();
    await settle(20);
    expect(orders.at(0)).to.equal('reserve t1');
    expect(orders.at(-1)).to.equal('release t1');
    expect(runtime.state().load.flights.size).to.equal(0);
    orders.splice(0);
    const reserved = start(2);
    await new Promise((resolve) => setImmediate(resolve));
    reserved.supersede();
    await settle(20);
    expect(orders).to.deep.equal(['reserve t1', 'release t1']);
    expect(runtime.state().load.flights.size).to.equal(0);
    pool.close();
  });
});
