import { expect } from 'chai';
import type { RequestListener, ServerResponse } from 'node:http';
import type {
  EngineCost,
  ForwardingRoute,
} from '@endivegate/contracts/forwarding';
import type { CheckResult, RosterTarget } from '@endivegate/core/forwarding';
import * as E from 'fp-ts/lib/Either.js';
import type { OrderPort } from '../orderPort/index.ts';
import type { CheckTarget } from '../targetLoss/index.ts';
import { settle } from '../testFleet/index.ts';
import {
  sign,
  startTestGateway,
  type TestGateway,
} from '../testGateway/index.ts';

/** Longer than the silence after which a target is checked. */
const SILENCE_MS = 1100;

/** Longer than it takes to check a target several times. */
const CHECKED_MS = 900;

const BORN_MS = 7;

/** Targets may be silent for longer than a test lasts. */
const patientRoute: Partial<ForwardingRoute> = {
  targetLatencyMs: 5000,
  gapTargetMs: 5000,
  timeoutMs: 15_000,
};

const event = (id: number): string => `id: ${id}\ndata: e${id}\n\n`;

const answer: RequestListener = (request, response) => {
  sign(request, response);
  response.end(event(1));
};

const answered = { status: 200, body: event(1), isWhole: true };

describe('a target that ends without closing its connections', () => {
  let entry: TestGateway;
  let silent: ServerResponse[];
  let checks: string[];
  let checkResult: CheckResult;

  const beSilent: RequestListener = (request, response) => {
    sign(request, response);
    silent.push(response);
  };

  const checkTarget: CheckTarget = ({ id }) => {
    checks.push(id);
    return Promise.resolve(checkResult);
  };

  beforeEach(() => {
    silent = [];
    checks = [];
    checkResult = 'unanswered';
  });

  afterEach(() => entry.stop());

  function targets(): readonly RosterTarget[] {
    return [...entry.gateway.runtime.state().roster.targets.values()];
  }

  function list(listed: readonly RosterTarget[]): void {
    entry.gateway.runtime.dispatch({
      type: 'roster.listed',
      atMs: 1,
      targets: listed,
    });
  }

  function unlistFirst(): void {
    list(targets().filter(({ id }) => id !== 't0'));
  }

  function restartFirst(bornMs: number): void {
    list(targets().map((one) => (one.id === 't0' ? { ...one, bornMs } : one)));
  }

  /** Starts an entry whose first target is silent, and sends it a request. */
  async function askFirst(
    options: Partial<Parameters<typeof startTestGateway>[0]> = {},
    headers: Readonly<Record<string, string>> = {},
  ): Promise<{ readonly answer: ReturnType<TestGateway['ask']> }> {
    entry = await startTestGateway({
      targets: [beSilent, answer],
      checkTarget,
      ...options,
      route: { ...patientRoute, ...options.route },
    });
    restartFirst(BORN_MS);
    const asked = entry.ask('/', headers);
    while (silent.length === 0) await settle(5);
    return { answer: asked };
  }

  /** Log lines are written after a while. */
  async function logged(): Promise<string> {
    await settle(100);
    return entry.lines.join('');
  }

  const sentTo = (): readonly string[] =>
    entry.sends.map(({ target }) => target);

  // Guards against a request that waits for a process whose successor is listed.
  it('gives a request up at once when another process is listed', async () => {
    const asked = await askFirst();
    restartFirst(BORN_MS + 1);
    entry.skip(300);
    expect(await asked.answer).to.deep.equal(answered);
    expect(sentTo()).to.deep.equal(['t0', 't1']);
    expect(checks).to.deep.equal([]);
    expect(await logged()).to.include('"fact":"restarted"');
  });

  // Guards against a request that waits until its time is up for a target that is gone.
  it('gives a request up when it is unlisted and does not answer', async () => {
    const asked = await askFirst();
    unlistFirst();
    entry.skip(SILENCE_MS);
    expect(await asked.answer).to.deep.equal(answered);
    expect(sentTo()).to.deep.equal(['t0', 't1']);
    expect(checks).to.deep.equal(['t0', 't0']);
    expect(await logged()).to.include('"fact":"unlisted"');
  });

  it('gives a request up when another process answers at its address', async () => {
    const asked = await askFirst();
    checkResult = 'replaced';
    unlistFirst();
    entry.skip(SILENCE_MS);
    expect(await asked.answer).to.deep.equal(answered);
    expect(checks).to.deep.equal(['t0']);
  });

  // Guards against memory that is renewed for as long as nobody will answer.
  it('releases memory that a listed target which does not answer uses no more', async () => {
    const engine: EngineCost = {
      ...{ slots: 4, memoryTokens: 100_000, stepsPerPass: 10, stepMs: 1 },
      ...{ stepMsPerWriter: 0, stepMsPerContextK: 0, readTokensPerMs: 100 },
      ...{ readMsPerMillionPairs: 0, helperStepMs: 0 },
    };
    let isUsed = true;
    const held = new Set<string>();
    const orders: OrderPort = {
      isInUse: () => () => Promise.resolve(E.right(isUsed)),
      reserve: ({ id }, { reservationId }) => {
        held.add(`${id} ${reservationId}`);
        return () => Promise.resolve(E.right(undefined));
      },
      release: ({ id }, reservationId) => {
        held.delete(`${id} ${reservationId}`);
        return () => Promise.resolve(E.right(undefined));
      },
    };
    const asked = await askFirst(
      { targets: [beSilent, beSilent, beSilent], engine, orders },
      { 'x-prompt-tokens': '150000' },
    );
    expect(held.size).to.equal(1);
    entry.skip(SILENCE_MS);
    await settle(CHECKED_MS);
    // Its memory is still used: this entry may be cut off from it alone.
    expect(silent).to.have.length(1);
    expect(checks.length).to.be.above(1);
    isUsed = false;
    while (silent.length < 2) await settle(5);
    expect([...held].filter((one) => one.endsWith('/1'))).to.deep.equal([]);
    silent[1]?.end(event(1));
    expect(await asked.answer).to.deep.equal(answered);
    await settle(20);
    expect([...held]).to.deep.equal([]);
  });

  // Guards against a call that runs twice, and against a caller that waits in vain.
  it('says that a call which may run once may have run', async () => {
    const asked = await askFirst({ route: { repeat: 'atMostOnce' } });
    restartFirst(BORN_MS + 1);
    entry.skip(300);
    expect((await asked.answer).status).to.equal(502);
    expect(sentTo()).to.deep.equal(['t0']);
  });

  it('does not hold the silence against the process that has taken its place', async () => {
    const asked = await askFirst();
    restartFirst(BORN_MS + 1);
    entry.skip(300);
    await asked.answer;
    const first = targets().find(({ id }) => id === 't0');
    expect(first?.failures).to.equal(0);
    expect(entry.gateway.runtime.state().partSuspects.deaths.size).to.equal(0);
  });

  /** What must not end the send to a target that is sound, and reads a long prompt. */
  const sound: Readonly<Record<string, () => void>> = {
    'it is unlisted and answers': () => {
      checkResult = 'alive';
      unlistFirst();
    },
    'an older process is listed, as after a restore of the store': () => {
      restartFirst(BORN_MS - 1);
    },
    'it is listed and would not answer': () => undefined,
    'its entry is back before it was checked often enough': () => {
      const before = targets();
      unlistFirst();
      setTimeout(() => {
        list(before);
      }, 50);
    },
  };

  Object.entries(sound).forEach(([what, happen]) => {
    // Guards against answers that are lost though they were nearly ready.
    it(`keeps a request at a silent target when ${what}`, async () => {
      const asked = await askFirst();
      happen();
      entry.skip(SILENCE_MS);
      await settle(CHECKED_MS);
      silent[0]?.end(event(1));
      expect(await asked.answer).to.deep.equal(answered);
      expect(sentTo()).to.deep.equal(['t0']);
    });
  });

  // Guards against an entry that takes the loss of its own paths for the end of targets.
  it('keeps a request while no other target accepts a connection', async () => {
    const asked = await askFirst({ targets: [beSilent, '127.0.0.1:9'] });
    unlistFirst();
    entry.skip(SILENCE_MS);
    await settle(CHECKED_MS);
    silent[0]?.end(event(1));
    expect(await asked.answer).to.deep.equal(answered);
    expect(checks.length).to.be.above(1);
  });

  it('keeps a stream that goes on while its target does not answer checks', async () => {
    const asked = await askFirst();
    unlistFirst();
    const writer = setInterval(() => silent[0]?.write(event(1)), 50);
    await settle(2 * CHECKED_MS);
    clearInterval(writer);
    silent[0]?.end();
    expect((await asked.answer).isWhole).to.equal(true);
    expect(sentTo()).to.deep.equal(['t0']);
  });
});
