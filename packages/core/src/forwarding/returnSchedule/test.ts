import { expect } from 'chai';
import fc from 'fast-check';
import type { CapacityForecast } from '../capacityForecast/index.ts';
import {
  initialReturnSchedule,
  type ReturningRequest,
  scheduleReturn,
} from './index.ts';

/** Forty slots, of which one becomes free every 50 ms. */
const full: CapacityForecast = {
  nowMs: 10_000,
  freeSlots: 0,
  freeMemoryTokens: 0,
  ends: Array.from({ length: 40 }, (_, index) => ({
    endsAtMs: 10_000 + index * 50,
    memoryTokens: 6_700,
  })),
  totalSlots: 40,
  totalMemoryTokens: 40 * 6_700,
  holdMs: 2000,
  targets: 5,
  prefillBacklogMs: 0,
};

const short: ReturningRequest = {
  memoryTokens: 6_700,
  prefillMs: 40,
  valueShare: 1,
  slackShare: 0.5,
  timeLeftMs: 9000,
};

const alone = { entries: 1, queuedMemoryTokens: 0, queuedRequests: 0 };

const delaysOf = (
  requests: readonly ReturningRequest[],
  { forecast = full, options = alone } = {},
): readonly number[] => {
  let state = initialReturnSchedule;
  return requests.map((request) => {
    const result = scheduleReturn(state, request, forecast, options);
    ({ state } = result);
    return result.retryAfterMs;
  });
};

const times = (count: number, request = short) =>
  Array.from({ length: count }, () => request);

const countBy = (delays: readonly number[], intervalMs: number) =>
  delays.reduce((counts, delay) => {
    const interval = Math.floor(delay / intervalMs);
    return counts.set(interval, (counts.get(interval) ?? 0) + 1);
  }, new Map<number, number>());

describe('scheduleReturn', () => {
  // Forty callers that are refused at once and return at once find the same queue.
  it('spreads many returns over the capacity as it becomes free', () => {
    const counts = [...countBy(delaysOf(times(40)), 200).values()];
    expect(Math.max(...counts)).to.be.at.most(6);
    expect(counts.length).to.be.at.least(9);
  });

  it('gives an entry its part of the capacity', () => {
    const lastOf = (entries: number): number =>
      Math.max(...delaysOf(times(12), { options: { ...alone, entries } }));
    expect(lastOf(1)).to.be.below(700);
    expect(lastOf(4)).to.be.within(2000, 3000);
  });

  it('returns a request of more value sooner when capacity is short', () => {
    const cheap = { ...short, valueShare: 0.1, slackShare: 1 };
    const before = times(10, cheap);
    const [valued = 0] = delaysOf([...before, short]).slice(-1);
    const [another = 0] = delaysOf([...before, cheap]).slice(-1);
    expect(valued).to.be.below(another);
  });

  it('comes later when capacity has fallen', () => {
    const fallen: CapacityForecast = {
      ...full,
      ends: full.ends.filter((_, index) => index % 4 === 0),
    };
    const lastOf = (forecast: CapacityForecast): number =>
      Math.max(...delaysOf(times(8), { forecast }));
    expect(lastOf(fallen)).to.be.above(lastOf(full) * 2);
  });

  it('counts the prompts that targets have yet to read', () => {
    const backlog = { ...full, prefillBacklogMs: 5 * 1000 };
    const [delay = 0] = delaysOf([short], { forecast: backlog });
    expect(delay).to.be.at.least(950);
  });

  // A storm whose callers all get the limit as their delay returns as one peak.
  it('spreads a storm beyond all capacity below the limit of its callers', () => {
    const delays = delaysOf(times(400));
    const late = delays.filter((delay) => delay > 1800);
    expect(Math.max(...delays)).to.be.at.most(3000);
    expect(Math.max(...countBy(late, 100).values())).to.be.below(
      late.length / 6,
    );
  });

  it('never names more than a third of the time left, nor a time in the past', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            memoryTokens: fc.integer({ min: 0, max: 900_000 }),
            prefillMs: fc.integer({ min: 0, max: 9000 }),
            valueShare: fc.double({ min: 0, max: 1, noNaN: true }),
            slackShare: fc.double({ min: 0, max: 1, noNaN: true }),
            timeLeftMs: fc.integer({ min: -10, max: 20_000 }),
          }),
          { maxLength: 40 },
        ),
        fc.integer({ min: 1, max: 200 }),
        (requests, entries) => {
          const options = { ...alone, entries };
          delaysOf(requests, { options }).forEach((delay, index) => {
            const { timeLeftMs = 0 } = requests[index] ?? {};
            expect(delay).to.be.within(0, Math.max(timeLeftMs, 0) / 3 + 0.001);
          });
        },
      ),
      { seed: 1, numRuns: 60 },
    );
  });
});
