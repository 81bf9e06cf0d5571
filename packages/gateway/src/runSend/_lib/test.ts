import { expect } from 'chai';
import type {
  ForwardingRoute,
  ListedTarget,
} from '@endivegate/contracts/forwarding';
import {
  gatewayReduce,
  type GatewayState,
  initialGatewayState,
  type RosterTarget,
} from '@endivegate/core/forwarding';
import type { GatewayRuntime } from '../../gatewayRuntime/index.ts';
import type { SendPlan } from '../../planSend/index.ts';
import { answerLimits, bufferAnswer } from './bufferAnswer.ts';
import { createEventTimes } from './eventTimes.ts';
import { createStallDetector } from './stallDetector.ts';
import { remainingSilenceMs } from './remainingSilenceMs.ts';
import { sendObstacle } from './sendObstacle.ts';

const route = {
  repeat: 'stream',
  resumable: true,
  targetLatencyMs: 300,
  gapTargetMs: 250,
} as ForwardingRoute;

const query = {
  route,
  plan: {
    firstEventMs: 100,
    slotWaitMs: 0,
    helpers: [],
  } as unknown as SendPlan,
  isLast: false,
  hasFirstEvent: true,
  timeLeftMs: 10_000,
  patienceMs: 2000,
  backlogMs: 0,
  silenceMs: 0,
};

const settle = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

describe('remainingSilenceMs', () => {
  it('limits the silence of a stream without a prefill backlog', () => {
    expect(remainingSilenceMs(query)).to.equal(1000);
    expect(remainingSilenceMs({ ...query, silenceMs: 1000 })).to.equal(0);
  });

  it('extends the limit for a prefill backlog up to the stall timeout of the caller', () => {
    const busy = { ...query, silenceMs: 1000, backlogMs: 300 };
    expect(remainingSilenceMs(busy)).to.equal(550);
    const tooBusy = { ...query, silenceMs: 1000, backlogMs: 900 };
    expect(remainingSilenceMs(tooBusy)).to.equal(0);
  });

  // The limit before the first event grew with the silence and never expired.
  it('does not extend the limit before the first event by the silence or a backlog', () => {
    const waiting = { ...query, hasFirstEvent: false, backlogMs: 500 };
    expect(remainingSilenceMs(waiting)).to.equal(900);
    expect(remainingSilenceMs({ ...waiting, silenceMs: 900 })).to.equal(0);
  });

  // Guards against two takeovers of one request, by the peer and by its sender.
  it('leaves a peer time to take over from a silent target first', () => {
    const plan = { ...query.plan, isRelay: true, firstEventMs: undefined };
    const relayed = { ...query, plan };
    expect(remainingSilenceMs(relayed)).to.equal(1600);
    expect(remainingSilenceMs({ ...relayed, hasFirstEvent: false })).to.equal(
      1300,
    );
    const call = { ...route, repeat: 'idempotent' as const };
    expect(remainingSilenceMs({ ...relayed, route: call })).to.equal(7000);
  });

  it('sets no limit for a request that must not be sent again', () => {
    const nonRepeatable = { ...route, repeat: 'atMostOnce' as const };
    expect(remainingSilenceMs({ ...query, route: nonRepeatable })).to.equal(
      undefined,
    );
    const nonResumable = { ...route, resumable: false };
    expect(remainingSilenceMs({ ...query, route: nonResumable })).to.equal(
      undefined,
    );
    expect(remainingSilenceMs({ ...query, isLast: true })).to.equal(undefined);
  });
});

describe('createEventTimes', () => {
  it('returns gaps between events, and their median once there are enough', () => {
    const times = createEventTimes(0);
    const gaps = [100, 150, 200, 700].map(times.note);
    expect(gaps).to.deep.equal([undefined, 50, 50, 500]);
    expect(times.medianGapMs()).to.equal(undefined);
    times.note(740);
    expect(times.medianGapMs()).to.equal(50);
    expect(times.longestGapMs()).to.equal(500);
    expect(times.silenceMs(750)).to.equal(10);
    expect(times.eventCount()).to.equal(5);
    times.restart(1740);
    expect(times.silenceMs(1750)).to.equal(10);
    expect(times.note(1760)).to.equal(20);
  });

  // Guards against memory that grows with each event of a stream.
  it('keeps the longest gap, and the median of the latest gaps, of a long stream', () => {
    const times = createEventTimes(0);
    times.note(0);
    times.note(900);
    Array.from({ length: 5000 }, (_, index) => 910 + 10 * index).forEach(
      times.note,
    );
    expect(times.longestGapMs()).to.equal(900);
    expect(times.medianGapMs()).to.equal(10);
    Array.from({ length: 5000 }, (_, index) => 51_000 + index).forEach(
      times.note,
    );
    expect(times.medianGapMs()).to.equal(1);
    expect(times.eventCount()).to.equal(10_002);
  });
});

const MIB = 1024 * 1024;

describe('bufferAnswer', () => {
  const limits = { maxAnswerBytes: 10, maxTotalBytes: 15 };
  const chunk = (bytes: number) => Buffer.alloc(bytes, 'x');

  it('keeps an answer up to the limit and breaks off a larger one', () => {
    const excess: string[] = [];
    const answer = bufferAnswer({}, (limit) => excess.push(limit), limits);
    answer.add(chunk(4));
    answer.add(chunk(6));
    expect(answer.bytes().toString()).to.equal('x'.repeat(10));
    expect(excess).to.deep.equal([]);
    answer.add(chunk(1));
    expect(excess).to.deep.equal(['answer']);
  });

  // Guards against many answers that fill the memory together.
  it('breaks off the largest answer when all together exceed their limit', () => {
    const owner = {};
    const excess: string[] = [];
    const [large, small, other] = ['large', 'small', 'other'].map((name) =>
      bufferAnswer(owner, (limit) => excess.push(`${name} ${limit}`), limits),
    );
    large?.add(chunk(9));
    small?.add(chunk(2));
    other?.add(chunk(4));
    bufferAnswer({}, () => excess.push('elsewhere'), limits).add(chunk(9));
    expect(excess).to.deep.equal([]);
    small?.add(chunk(1));
    expect(excess).to.deep.equal(['large answers']);
    other?.add(chunk(4));
    expect(small?.bytes().length).to.equal(3);
    expect(other?.bytes().length).to.equal(8);
  });

  // Guards against many streams whose events do not end.
  it('counts incomplete events with answers, and only while they are kept', () => {
    const owner = {};
    const excess: string[] = [];
    const [plain, stream] = ['plain', 'stream'].map((name) =>
      bufferAnswer(owner, (limit) => excess.push(`${name} ${limit}`), limits),
    );
    [14, 0, 9].forEach((bytes) => stream?.holdEvent(bytes));
    plain?.add(chunk(6));
    expect(excess).to.deep.equal([]);
    stream?.holdEvent(10);
    expect(excess).to.deep.equal(['stream answers']);
    plain?.add(chunk(4));
    expect(excess).to.deep.equal(['stream answers']);
  });

  it('no longer counts an answer that was released', () => {
    const owner = {};
    const excess: string[] = [];
    const add = (): void => {
      const answer = bufferAnswer(owner, (limit) => excess.push(limit), limits);
      answer.add(chunk(9));
      answer.release();
    };
    [1, 2, 3].forEach(add);
    expect(excess).to.deep.equal([]);
  });

  // Guards against answers that fill a small machine although they keep to a limit.
  it('leaves most of the memory of a machine to others', () => {
    const limits250 = answerLimits(250_000_000);
    expect([
      limits250,
      answerLimits(),
      answerLimits(8_000_000_000),
    ]).to.deep.equal([
      { maxAnswerBytes: 32 * MIB, maxTotalBytes: 46_875_000 },
      limits250,
      { maxAnswerBytes: 32 * MIB, maxTotalBytes: 64 * MIB },
    ]);
  });

  // Guards against an answer with bytes of one that was given up.
  it('keeps the bytes of a complete answer when their blocks are used again', () => {
    const owner = {};
    const sizes = { maxAnswerBytes: 2 * MIB, maxTotalBytes: 8 * MIB };
    const receive = (fill: string, given: boolean): Buffer => {
      const answer = bufferAnswer(owner, () => undefined, sizes);
      Array.from({ length: 20 }).forEach(() => {
        answer.add(Buffer.alloc(MIB / 16, fill));
      });
      const bytes = given ? answer.bytes() : Buffer.alloc(0);
      answer.release();
      return bytes;
    };
    const other = bufferAnswer(owner, () => undefined, sizes);
    other.add(chunk(1));
    const first = receive('a', true);
    receive('b', false);
    const second = receive('c', true);
    other.release();
    const length = (20 * MIB) / 16;
    expect(first.equals(Buffer.alloc(length, 'a'))).to.equal(true);
    expect(second.equals(Buffer.alloc(length, 'c'))).to.equal(true);
  });
});

describe('createStallDetector', () => {
  it('computes the backlog only when the timer expires, and waits for it', async () => {
    const asked: number[] = [];
    await new Promise<void>((resolve) => {
      createStallDetector({
        remainingSilenceMs: (backlogMs) => {
          asked.push(backlogMs);
          if (asked.length === 1) return 1;
          return asked.length === 2 ? 10 : 0;
        },
        backlogMs: () => 7,
        onSilence: resolve,
      }).reset();
    });
    expect(asked).to.deep.equal([0, 7, 7]);
  });

  it('never reports a stall without a limit or after being stopped', async () => {
    let stalls = 0;
    const detect = (limitMs: number | undefined) =>
      createStallDetector({
        remainingSilenceMs: () => limitMs,
        backlogMs: () => 0,
        onSilence: () => {
          stalls += 1;
        },
      });
    detect(undefined).reset();
    const stopped = detect(1);
    stopped.reset();
    stopped.stop();
    await settle(20);
    expect(stalls).to.equal(0);
  });

  it('reports again later while the silence lasts, until it is stopped', async () => {
    let reports = 0;
    const detector = createStallDetector({
      remainingSilenceMs: () => 1,
      backlogMs: () => 0,
      onSilence: () => {
        reports += 1;
        if (reports === 2) detector.stop();
      },
    });
    detector.reset();
    while (reports < 2) await settle(20);
    await settle(300);
    expect(reports).to.equal(2);
  });
});

describe('sendObstacle', () => {
  const listed: ListedTarget[] = ['a', 'b'].map((dataCentre) => ({
    ...{ id: `t-${dataCentre}`, service: 's', address: '', dataCentre },
    ...{ draining: false, slots: 1, bornMs: 1 },
  }));
  const withTargets = gatewayReduce(initialGatewayState, {
    type: 'roster.listed',
    atMs: 0,
    targets: listed,
  }).state;
  const { state: withEvacuation } = gatewayReduce(withTargets, {
    type: 'evacuations.reported',
    atMs: 0,
    reports: [
      {
        ...{ dataCentre: 'a', era: 1, revision: 1 },
        ...{ isEvacuated: true, ageMs: 0 },
      },
    ],
    source: 'peer',
  });
  const targetOf = (state: GatewayState, id: string): RosterTarget => {
    const target = state.roster.targets.get(id);
    if (target === undefined) throw new Error(`no target ${id}`);
    return target;
  };
  const obstacleOf = (
    state: GatewayState,
    { isRelay = false, helperId = '', targetId = 't-b' },
  ) =>
    sendObstacle(
      {
        target: targetOf(state, targetId),
        isRelay,
        helpers: helperId === '' ? [] : [targetOf(state, helperId)],
      } as unknown as SendPlan,
      { runtime: { state: () => state } as GatewayRuntime, now: () => 10 },
    );

  // Guards against a request that waits for memory or a connection and is then sent
  // to a data centre that was evacuated meanwhile.
  it('forbids a send whose target or helper was evacuated after it was planned', () => {
    expect(obstacleOf(withTargets, { targetId: 't-a' })).to.equal(undefined);
    expect(obstacleOf(withEvacuation, { targetId: 't-a' })).to.equal(
      'evacuated',
    );
    expect(obstacleOf(withEvacuation, {})).to.equal(undefined);
    expect(obstacleOf(withEvacuation, { helperId: 't-a' })).to.equal(
      'evacuated',
    );
    expect(
      obstacleOf(withEvacuation, { targetId: 't-a', isRelay: true }),
    ).to.equal(undefined);
  });
});
