import { expect } from 'chai';
import {
  findBlockedParts,
  initialPartSuspects,
  type PartBlock,
  partReport,
  partsKey,
  type PartSuspectsEffect,
  type PartSuspectsEvent,
  type PartSuspectsState,
  type PartVerdict,
  reducePartSuspects,
  requestPart,
} from './index.ts';
import {
  answered,
  deathOf,
  died,
  others,
  SERVICE,
  three,
} from './test.events.ts';

const MINUTE_MS = 60_000;

interface Sum {
  readonly state: PartSuspectsState;
  readonly effects: readonly PartSuspectsEffect[];
}

/** Applies events, and a tick after the last of them has settled. */
const apply = (
  events: readonly PartSuspectsEvent[],
  from: PartSuspectsState = initialPartSuspects,
): Sum => {
  const lastMs = Math.max(...events.map(({ atMs }) => atMs));
  const tick = { type: 'partSuspects.ticked', atMs: lastMs + 300 } as const;
  return [...events, tick].reduce<Sum>(
    (sum, event) => {
      const step = reducePartSuspects(sum.state, event);
      return {
        state: step.state,
        effects: [...sum.effects, ...step.effects],
      };
    },
    { state: from, effects: [] },
  );
};

const run = (
  events: readonly PartSuspectsEvent[],
  from?: PartSuspectsState,
): PartSuspectsState => apply(events, from).state;

const verdict = (
  state: PartSuspectsState,
  parts: readonly string[],
  nowMs = 1000,
): PartVerdict['type'] | undefined =>
  findBlockedParts(state, { service: SERVICE, parts, nowMs })?.type;

const blockedEffects = (effects: readonly PartSuspectsEffect[]) =>
  effects.filter(({ type }) => type === 'partSuspects.blocked');

describe('partSuspects', () => {
  it('blocks a part after three deaths in sequence while others are answered', () => {
    const two = run([...three(['p']).slice(0, 2), ...others(150)]);
    expect(verdict(two, ['p'])).to.equal(undefined);
    const { state, effects } = apply([...three(['p']), ...others(260)]);
    expect(verdict(state, ['p'])).to.equal('refuse');
    expect(verdict(state, ['q', 'p'])).to.equal('refuse');
    expect(verdict(state, ['q'])).to.equal(undefined);
    expect(blockedEffects(effects)).to.deep.equal([
      {
        type: 'partSuspects.blocked',
        block: {
          service: SERVICE,
          parts: ['p'],
          cause: 'p200',
          level: 0,
          sinceMs: 250,
        },
        source: 'own',
        holdMs: 10 * MINUTE_MS,
      },
    ]);
    const otherService = { service: 'other', parts: ['p'], nowMs: 1000 };
    expect(findBlockedParts(state, otherService)).to.equal(undefined);
  });

  it('does not blame a part that sound requests share with the one that crashes', () => {
    const state = run([
      ...three(['first', 'bad']),
      answered(210, ['first']),
      ...others(260),
    ]);
    expect(verdict(state, ['first', 'bad'])).to.equal('refuse');
    expect(verdict(state, ['first'])).to.equal(undefined);
  });

  it('counts targets that die together once', () => {
    const herd = Array.from({ length: 20 }, (_, n) =>
      died(deathOf(`p${n}`, ['a', 'b'], n, 500 + n)),
    );
    const state = run([...herd, ...others(600)]);
    expect(state.blocks.size).to.equal(0);
  });

  it('blocks nothing while a whole service is down', () => {
    const crashes = Array.from({ length: 20 }, (_, n) =>
      died(deathOf(`p${n}`, ['a'], n * 100)),
    );
    expect(run(crashes).blocks.size).to.equal(0);
    // Answers that begin long after the last death belong to another time.
    expect(run([...crashes, ...others(20_000)]).blocks.size).to.equal(0);
  });

  it('blocks nothing because of a target that keeps dying under anything', () => {
    const flaps = Array.from({ length: 12 }, (_, n) => [
      died(deathOf(`t1@${n}`, ['a', `b${n % 4}`], n * 300)),
      answered(n * 300 + 100, ['a', `b${n % 4}`]),
      answered(n * 300 + 100, ['a']),
    ]).flat();
    expect(run(flaps).blocks.size).to.equal(0);
  });

  it('needs five deaths against a part that was sound recently', () => {
    const deaths = Array.from({ length: 5 }, (_, n) =>
      died(deathOf(`p${n}`, ['a'], 1000 + 100 * n)),
    );
    const start = [died(deathOf('p', ['a'], 0)), answered(900, ['a'])];
    const four = run([...start, ...deaths.slice(0, 4), ...others(1400)]);
    expect(four.blocks.size).to.equal(0);
    const five = run([...start, ...deaths, ...others(1500)]);
    expect(verdict(five, ['a'], 1500)).to.equal('refuse');
  });

  it('does not blame requests that ran beside those that crash targets', () => {
    const beside = [0, 100, 200].flatMap((ms) => [
      died(deathOf(`p${ms}`, ['a-rare'], ms)),
      died(deathOf(`p${ms}`, ['bad'], ms)),
      ...others(ms + 60),
    ]);
    const unclear = run(beside);
    expect(unclear.blocks.size).to.equal(0);
    const state = run([died(deathOf('p300', ['bad'], 300))], unclear);
    expect(verdict(state, ['bad'])).to.equal('refuse');
    expect(verdict(state, ['a-rare'])).to.equal(undefined);
  });

  it('blocks both when five deaths cannot tell two parts apart', () => {
    const state = run(
      [0, 100, 200, 300, 400].flatMap((ms) => [
        died(deathOf(`p${ms}`, ['a-rare'], ms)),
        died(deathOf(`p${ms}`, ['bad'], ms)),
        ...others(ms + 60),
      ]),
    );
    expect(verdict(state, ['bad'])).to.equal('refuse');
    expect(verdict(state, ['a-rare'])).to.equal('refuse');
  });

  it('finds a second part that crashes targets', () => {
    const state = run([
      ...three(['bad', 'first']),
      died(deathOf('p300', ['bad', 'first'], 300)),
      ...others(360),
      answered(400, ['first']),
      ...three(['worse', 'first'], 500),
      ...others(760),
      answered(800, ['first']),
    ]);
    expect(verdict(state, ['bad'])).to.equal('refuse');
    expect(verdict(state, ['worse'])).to.equal('refuse');
    expect(verdict(state, ['first'])).to.equal(undefined);
  });

  it('blocks parts that always came together only together, until they can be distinguished', () => {
    const state = run([...three(['first', 'bad']), ...others(260)]);
    expect(verdict(state, ['first', 'bad'])).to.equal('refuse');
    expect(verdict(state, ['first'])).to.equal(undefined);
    expect(verdict(state, ['bad'])).to.equal(undefined);
    const soundFirst = run([answered(300, ['first'])], state);
    expect(verdict(soundFirst, ['other', 'bad'])).to.equal('refuse');
    expect(verdict(soundFirst, ['first'])).to.equal(undefined);
    const twoMore = run(
      [
        died(deathOf('p7', ['other', 'bad'], 400)),
        died(deathOf('p8', ['other', 'bad'], 500)),
        ...others(560),
      ],
      state,
    );
    expect(verdict(twoMore, ['third', 'bad'])).to.equal('refuse');
    expect(verdict(twoMore, ['other'])).to.equal(undefined);
  });

  // Guards against crashing the targets of each service that a route moves to.
  it('blocks a part for another service after one death there', () => {
    const elsewhere = { ...deathOf('q', ['p', 'first'], 300), service: 'new' };
    const start = [...three(['p']), ...others(260)];
    const isBlocked = (state: PartSuspectsState) =>
      findBlockedParts(state, { service: 'new', parts: ['p'], nowMs: 900 }) !==
      undefined;
    expect(isBlocked(run(start))).to.equal(false);
    expect(isBlocked(run([died(elsewhere)]))).to.equal(false);
    const state = run([...start, died(elsewhere)]);
    expect(isBlocked(state)).to.equal(true);
    const sound = { ...answered(400, ['p']), service: 'new' };
    const cleared = run([sound], state);
    expect(isBlocked(cleared)).to.equal(false);
    expect(verdict(cleared, ['p'])).to.equal('refuse');
  });

  it('releases a part as soon as an answer to it begins', () => {
    const blocked = run([...three(['p']), ...others(260)]);
    const { state, effects } = apply([answered(300, ['p'])], blocked);
    expect(verdict(state, ['p'])).to.equal(undefined);
    expect(effects.map(({ type }) => type)).to.deep.equal([
      'partSuspects.reportDue',
      'partSuspects.cleared',
    ]);
  });

  describe('of a whole request', () => {
    const request = requestPart('/|w1|0|0');

    // Guards against a request that crashes targets and is the only one that is sent.
    it('blocks it after three deaths in sequence, although nothing else is answered', () => {
      const two = run(three([request]).slice(0, 2));
      expect(verdict(two, [request])).to.equal(undefined);
      expect(verdict(run(three([request])), [request])).to.equal('refuse');
    });

    // Guards against a cut, a release or a power loss that ends several targets at once
    // under requests that are alike.
    it('does not block it when targets die together', () => {
      const together = three([request]).map((event, index) =>
        event.type === 'partSuspects.died'
          ? died({
              ...event.death,
              sentAtMs: 100,
              endedAtMs: 150 + index,
            })
          : event,
      );
      expect(verdict(run(together), [request])).to.equal(undefined);
    });

    // Guards against a target that keeps failing under requests that others answer.
    it('does not block it while alike requests are answered', () => {
      const [first, second, third] = three([request]);
      const mixed = [first!, second!, answered(195, [request]), third!];
      expect(verdict(run(mixed), [request])).to.equal(undefined);
    });

    it('lets one try again after 5 s, 1 min, 2 h and 24 h', () => {
      const start = run(three([request]));
      [5000, MINUTE_MS, 120 * MINUTE_MS, 1440 * MINUTE_MS].reduce(
        (state, holdMs, level) => {
          const block = [...state.blocks.values()].at(-1)!;
          const endMs = block.sinceMs + holdMs;
          expect(block.level).to.equal(level);
          expect(verdict(state, [request], endMs - 1)).to.equal('refuse');
          expect(verdict(state, [request], endMs)).to.equal('try');
          return run([died(deathOf(`trial${level}`, [request], endMs))], state);
        },
        start,
      );
    });
  });

  it('lets one request try again after 10 min, 2 h and 24 h', () => {
    const start = run([...three(['p']), ...others(260)]);
    [10, 120, 1440].reduce((state, minutes, level) => {
      const block = [...state.blocks.values()].at(-1)!;
      const endMs = block.sinceMs + minutes * MINUTE_MS;
      expect(block.level).to.equal(level);
      expect(verdict(state, ['p'], endMs - 1)).to.equal('refuse');
      expect(verdict(state, ['p'], endMs)).to.equal('try');
      const key = partsKey(block);
      const tried = run(
        [{ type: 'partSuspects.tried', atMs: endMs, key }],
        state,
      );
      expect(verdict(tried, ['p'], endMs)).to.equal('refuse');
      expect(verdict(tried, ['p'], endMs + 10 * MINUTE_MS)).to.equal('try');
      return run(
        [
          { type: 'partSuspects.ticked', atMs: endMs },
          died(deathOf(`trial${level}`, ['p'], endMs)),
        ],
        tried,
      );
    }, start);
  });

  it('forgets deaths, and keeps few of them', () => {
    const deaths = Array.from({ length: 1000 }, (_, n) =>
      died(deathOf(`p${n}`, [`part${n}`], n, n)),
    );
    const tick = (atMs: number): PartSuspectsEvent => ({
      type: 'partSuspects.ticked',
      atMs,
    });
    const few = run([...deaths, tick(1000)]);
    expect(few.deaths.size).to.equal(256);
    const report = partReport(few, { nowMs: 1000, includeAllBlocks: true });
    expect(report?.deaths).to.have.length(8);
    const none = run([tick(1000 + 20 * MINUTE_MS)], few);
    expect(none).to.deep.equal(initialPartSuspects);
  });

  it('keeps no record of answers while no target died', () => {
    const state = run([answered(0, ['a']), answered(1, ['b'])]);
    expect(state).to.equal(initialPartSuspects);
  });

  it('tells own facts for a while, and all blocks where it is asked to', () => {
    const block: PartBlock = {
      service: SERVICE,
      parts: ['p'],
      cause: 'p1',
      level: 0,
      sinceMs: 0,
    };
    const received: PartSuspectsEvent = {
      type: 'partSuspects.reportReceived',
      atMs: 0,
      deaths: [deathOf('p1', ['p'], 0)],
      sounds: [{ service: SERVICE, part: 'q', atMs: 0 }],
      blocks: [block],
    };
    const { state, effects } = apply([received]);
    expect(effects).to.deep.equal([
      {
        type: 'partSuspects.blocked',
        block,
        source: 'peer',
        holdMs: 10 * MINUTE_MS,
      },
    ]);
    expect(partReport(state, { nowMs: 100, includeAllBlocks: false })).to.equal(
      undefined,
    );
    const all = partReport(state, { nowMs: 100_000, includeAllBlocks: true });
    expect(all?.deaths).to.deep.equal([]);
    expect(all?.blocks).to.have.length(1);
    const own = run([...three(['p']), ...others(260)]);
    const reported = partReport(own, { nowMs: 1000, includeAllBlocks: false });
    expect([reported?.deaths.length, reported?.blocks.length]).to.deep.equal([
      3, 1,
    ]);
    const later = partReport(own, { nowMs: 10_000, includeAllBlocks: false });
    expect(later).to.equal(undefined);
  });

  it('does not take up a block again that an answer has cleared', () => {
    const block = { service: SERVICE, parts: ['p'], cause: 'p1', level: 0 };
    const received = (atMs: number): PartSuspectsEvent => ({
      type: 'partSuspects.reportReceived',
      atMs,
      deaths: [],
      sounds: [],
      blocks: [{ ...block, sinceMs: atMs }],
    });
    const { state, effects } = apply([
      received(0),
      answered(10, ['p']),
      received(20),
    ]);
    expect(verdict(state, ['p'])).to.equal(undefined);
    expect(blockedEffects(effects)).to.have.length(1);
  });
});
