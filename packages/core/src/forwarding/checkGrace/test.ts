import { expect } from 'chai';
import {
  initialDurations,
  reduceDurations,
} from '../requestDurations/index.ts';
import { checkGrace, type CheckGraceQuery } from './index.ts';

const kind = { route: 'r', prompt: undefined };

const query: CheckGraceQuery = {
  grace: { elapsedMs: 2000, leftMs: 5500, addressesMs: 2900 },
  nowMs: 10_000,
  readAtMs: 10_000,
  deadlineAtMs: 30_000,
  kind,
  repeat: 'stream',
};

/** Durations of a number of answers. */
const after = (count: number, elapsedMs: number) =>
  Array.from({ length: count }).reduce<typeof initialDurations>(
    (state) =>
      reduceDurations(state, {
        type: 'durations.answered',
        ...{ ...kind, atMs: 9000, elapsedMs },
      }).state,
    initialDurations,
  );

describe('checkGrace', () => {
  it('tells what it rests on', () => {
    const by = (count: number, modelMs: number | undefined): unknown =>
      checkGrace(query, {
        durations: after(count, 1000),
        modelledMs: () => modelMs,
      });
    expect([
      by(20, 9000),
      by(3, 9000),
      by(3, 500),
      by(3, undefined),
      by(0, undefined),
    ]).toMatchSnapshot();
  });

  // Guards against a request that waited and then counts as read late, or the other way round.
  it('counts the time at which a request was read', () => {
    const options = { durations: after(20, 100), modelledMs: () => undefined };
    const grace = { ...query.grace, elapsedMs: 3500, leftMs: 4000 };
    const takenAfter = (waitMs: number): boolean => {
      const readAtMs = query.nowMs - waitMs;
      return checkGrace({ ...query, grace, readAtMs }, options).isTaken;
    };
    expect([599, 600, 700].map(takenAfter)).to.deep.equal([false, true, true]);
  });

  it('takes what may be repeated on an estimate, also late', () => {
    const options = { durations: after(20, 100), modelledMs: () => undefined };
    const grace = { ...query.grace, elapsedMs: 3500, leftMs: 4000 };
    const takes = (repeat: CheckGraceQuery['repeat']): boolean =>
      checkGrace({ ...query, grace, repeat }, options).isTaken;
    expect(takes('idempotent')).to.equal(true);
    expect(takes('atMostOnce')).to.equal(false);
    expect(takes('stream')).to.equal(false);
  });
});
